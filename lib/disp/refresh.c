/* The configuration and the membership in force.  */
#include "disp_in.h"

void
disp_refresh (struct disp *disp)
{
  struct pl_shared *conf = pl_rcu_ptr_get (disp->opts.note_conf_ptr);
  struct pl_shared *view = pl_rcu_ptr_get (disp->opts.memb_view_ptr);
  bool same = conf == (struct pl_shared *)disp->conf
              && view == (struct pl_shared *)disp->view;
  pl_shared_unref ((struct pl_shared *)disp->conf);
  pl_shared_unref ((struct pl_shared *)disp->view);
  disp->conf = (struct note_conf *)conf;
  disp->view = (struct memb_view *)view;
  if (!same)
    slot_update (disp->slots, disp->conf, disp->view);
}

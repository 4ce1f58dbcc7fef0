wagtail_slice(cell_gossip DEPENDS wagtail_core)

"""Random fault schedules: the real decision classes with fakes around them."""

"""Random schedules over the decision classes, with fakes for everything else."""

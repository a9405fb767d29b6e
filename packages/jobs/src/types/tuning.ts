/** Periods and bounds of the job subsystem. All times are in ms. */
export interface Tuning {
  /** How long a worker runs a task after the last renewal. */
  lease: number
  /** How long a command to a worker stays valid after it was made. */
  commandWindow: number
  /** Fastest and slowest rates of two clocks differ by no more than this part. */
  drift: number
  /** Between two looks at one worker. */
  keepPeriod: number
  /** Between two looks at the open jobs. */
  drivePeriod: number
  /** How long room is held for a placement that is being written. */
  hold: number
  /** How long an answer to a request for room is waited for. */
  askTimeout: number
  /** First delay before a failed placement or run is tried again; doubles each time. */
  backoff: number
  /** Longest such delay. */
  backoffMax: number
  /** Age at which a gang begins to keep younger jobs from the room it needs. */
  gangPatience: number
  /** How long it does so, and how long it then leaves off. */
  gangInsistence: number
  /** Runs of a task that may fail. */
  attempts: number
  /** Placements of a task that may end without a result. */
  losses: number
  /** Most transactions a second that this node writes. */
  writesPerSecond: number
  /** Most rows that one transaction of grouped changes writes. */
  rowsPerWrite: number
  /** Most jobs looked at in one drive. */
  jobsPerDrive: number
  /** Most tasks of one job. */
  tasksPerJob: number
  /** Most tasks of one gang: they are placed by one transaction. */
  tasksPerGang: number
  /** Most open jobs listed. */
  openJobs: number
  /** How long a worker that failed everything is given nothing. */
  quarantine: number
}

/** Values used where nothing else is given. */
export const DEFAULT_TUNING: Tuning = {
  lease: 10_000,
  commandWindow: 2000,
  drift: 0.05,
  keepPeriod: 1000,
  drivePeriod: 1000,
  hold: 2000,
  askTimeout: 500,
  backoff: 200,
  backoffMax: 10_000,
  gangPatience: 5000,
  gangInsistence: 20_000,
  attempts: 3,
  losses: 10,
  writesPerSecond: 40,
  rowsPerWrite: 64,
  jobsPerDrive: 25,
  tasksPerJob: 1000,
  tasksPerGang: 256,
  openJobs: 2000,
  quarantine: 60_000
}

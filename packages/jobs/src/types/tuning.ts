/** Periods and bounds of the job subsystem. All times are in ms. */
export interface Tuning {
  /** How long a worker runs a task after the last renewal. */
  leaseDuration: number
  /** How long a command to a worker stays valid after it was made. */
  commandValidity: number
  /** Fastest and slowest rates of two clocks differ by no more than this part. */
  maxClockDrift: number
  /** Between two looks at one worker. */
  superviseInterval: number
  /** Between two looks at the open jobs. */
  driveInterval: number
  /** How long room is held for a placement that is being written. */
  holdDuration: number
  /** How long an answer to a request for room is waited for. */
  holdTimeout: number
  /** First delay before a failed placement or run is tried again; doubles each time. */
  minBackoff: number
  /** Longest such delay. */
  maxBackoff: number
  /** Age at which a gang begins to keep younger jobs from the room it needs. */
  gangReservationAge: number
  /** How long it does so, and how long it then leaves off. */
  gangReservationDuration: number
  /** Runs of a task that may fail. */
  maxAttempts: number
  /** Placements of a task that may end without a result. */
  maxLosses: number
  /** Most transactions a second that this node writes. */
  maxWritesPerSecond: number
  /** Most rows that one transaction of grouped changes writes. */
  maxRowsPerWrite: number
  /** Most jobs looked at in one drive. */
  maxJobsPerDrive: number
  /** Most tasks of one job. */
  maxTasksPerJob: number
  /** Most tasks of one gang: they are placed by one transaction. */
  maxTasksPerGang: number
  /** Most open jobs listed. */
  maxOpenJobs: number
  /** How long a worker that failed everything is given nothing. */
  quarantineDuration: number
}

/** Values used where nothing else is given. */
export const DEFAULT_TUNING: Tuning = {
  leaseDuration: 10_000,
  commandValidity: 2000,
  maxClockDrift: 0.05,
  superviseInterval: 1000,
  driveInterval: 1000,
  holdDuration: 2000,
  holdTimeout: 500,
  minBackoff: 200,
  maxBackoff: 10_000,
  gangReservationAge: 5000,
  gangReservationDuration: 20_000,
  maxAttempts: 3,
  maxLosses: 10,
  maxWritesPerSecond: 40,
  maxRowsPerWrite: 64,
  maxJobsPerDrive: 25,
  maxTasksPerJob: 1000,
  maxTasksPerGang: 256,
  maxOpenJobs: 2000,
  quarantineDuration: 60_000
}

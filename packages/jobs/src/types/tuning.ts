/** Timeouts, intervals and limits of the job subsystem. All times are in ms. */
export interface Tuning {
  /** How long a worker runs a task after its lease was last renewed. */
  leaseDuration: number
  /** How long a command to a worker stays valid after the report that it is based on. */
  commandValidity: number
  /** Upper bound on the relative difference between the rates of two clocks. */
  maxClockDrift: number
  /** Time between two reconciliations of a worker. */
  superviseInterval: number
  /** Time between two reconciliations of the open jobs. */
  driveInterval: number
  /** How long an owner holds capacity for a placement that is being written. */
  holdDuration: number
  /** How long a driver waits for the answer to a request to hold capacity. */
  holdTimeout: number
  /** Delay before the first retry of a failed placement or run; doubles with each retry. */
  minBackoff: number
  /** Longest delay before a failed or lost run of a task is retried. */
  maxBackoff: number
  /** Age from which a gang reserves capacity, so that younger jobs cannot take it. */
  gangReservationAge: number
  /** Length of each period in which such a gang reserves capacity, and of each period without reservation in between. */
  gangReservationDuration: number
  /** Number of failed runs after which a task fails for good. */
  maxAttempts: number
  /** Number of placements without a result after which a task fails for good. */
  maxLosses: number
  /** Maximum number of transactions that this node writes per second. */
  maxWritesPerSecond: number
  /** Maximum number of rows written by one transaction of grouped changes. */
  maxRowsPerWrite: number
  /** Maximum number of jobs reconciled per interval. */
  maxJobsPerDrive: number
  /** Maximum number of tasks of a job. */
  maxTasksPerJob: number
  /** Maximum number of tasks of a gang, all of which are placed by one transaction. */
  maxTasksPerGang: number
  /** Maximum number of open jobs that a node lists. */
  maxOpenJobs: number
  /** How long a worker in quarantine receives no new tasks. */
  quarantineDuration: number
}

/** Default values. */
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

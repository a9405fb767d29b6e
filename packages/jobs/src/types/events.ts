import type { LogEvent } from '@rattanstep/telemetry'

/** Log events of the job subsystem. */
export const EVENTS = {
  accepted: { number: 4000, name: 'job-accepted', level: 'info', message: 'a job was accepted', fields: { job: 'the job', kind: 'kind of job', tasks: 'number of tasks' } },
  refused: { number: 4001, name: 'job-refused', level: 'info', message: 'a job was refused', fields: { job: 'the job', findings: 'what is wrong' } },
  placed: { number: 4002, name: 'task-placed', level: 'info', message: 'tasks were placed', fields: { job: 'the job', placements: 'worker of each task', age: 'ms since the job was accepted' } },
  unplaced: { number: 4003, name: 'task-unplaced', level: 'debug', message: 'no room was found for tasks', fields: { job: 'the job', wanted: 'number of tasks', held: 'tasks for which room was held', delay: 'ms until the next attempt' } },
  ended: { number: 4004, name: 'task-ended', level: 'info', message: 'a task left its worker', fields: { job: 'the job', index: 'number of the task', worker: 'the worker', event: 'what happened', state: 'state that follows' } },
  lost: { number: 4005, name: 'task-lost', level: 'warn', message: 'a task was given up for lost', fields: { job: 'the job', index: 'number of the task', worker: 'the worker', reason: 'why' } },
  claimed: { number: 4006, name: 'worker-claimed', level: 'info', message: 'the tasks of a worker are kept by this node', fields: { worker: 'the worker', tasks: 'tasks found there' } },
  dropped: { number: 4007, name: 'worker-dropped', level: 'info', message: 'the tasks of a worker are no longer kept by this node', fields: { worker: 'the worker' } },
  silent: { number: 4008, name: 'worker-silent', level: 'warn', message: 'a worker does not report', fields: { worker: 'the worker', reason: 'why' } },
  parked: { number: 4009, name: 'task-parked', level: 'warn', message: 'tasks can not run at the cell\'s present size', fields: { job: 'the job', reason: 'why' } },
  jobEnded: { number: 4010, name: 'job-ended', level: 'info', message: 'a job ended', fields: { job: 'the job', state: 'how' } },
  cancelled: { number: 4011, name: 'job-cancelled', level: 'info', message: 'a job was marked as cancelled', fields: { job: 'the job' } },
  badRow: { number: 4012, name: 'job-row-unreadable', level: 'error', message: 'a row of the table has an unexpected shape and is left alone', fields: { key: 'key of the row', problem: 'what is wrong' } },
  badMessage: { number: 4013, name: 'job-message-unreadable', level: 'warn', message: 'a message about jobs has an unexpected shape and is dropped', fields: { from: 'the sender', operation: 'name of the operation' } },
  tableFault: { number: 4014, name: 'job-table-fault', level: 'warn', message: 'the table did not answer as asked', fields: { action: 'what was tried', outcome: 'what is known', reason: 'why' } },
  quarantined: { number: 4015, name: 'worker-quarantined', level: 'warn', message: 'a worker fails far more tasks than its peers', fields: { worker: 'the worker', failures: 'failed runs', runs: 'all runs' } },
  preempted: { number: 4017, name: 'tasks-preempted', level: 'info', message: 'tasks are moved off a worker to make room for a job', fields: { job: 'the job that needs room', worker: 'the worker', tasks: 'number of tasks moved off' } },
  fault: { number: 4016, name: 'job-loop-fault', level: 'error', message: 'a step of the job subsystem failed and is repeated', fields: { step: 'which', error: 'what was thrown' } }
} as const satisfies Record<string, LogEvent>

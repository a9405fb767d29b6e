import type { LogEvent } from '@rattanstep/telemetry'

/** Log events of the job subsystem. */
export const EVENTS = {
  accepted: { number: 4000, name: 'job-accepted', level: 'info', message: 'job accepted', fields: { job: 'identifier of the job', kind: 'kind of the job', tasks: 'number of tasks' } },
  refused: { number: 4001, name: 'job-refused', level: 'info', message: 'job rejected because its specification has findings', fields: { job: 'identifier of the job', findings: 'errors in the specification' } },
  placed: { number: 4002, name: 'task-placed', level: 'info', message: 'tasks placed on workers', fields: { job: 'identifier of the job', placements: 'index and worker of each task', age: 'ms since the job was accepted' } },
  unplaced: { number: 4003, name: 'task-unplaced', level: 'debug', message: 'not enough free capacity to place all tasks', fields: { job: 'identifier of the job', wanted: 'number of tasks to place', held: 'number of tasks for which capacity was held', delay: 'ms until the next attempt' } },
  ended: { number: 4004, name: 'task-ended', level: 'info', message: 'task no longer placed on its worker', fields: { job: 'identifier of the job', index: 'index of the task in the job', worker: 'identifier of the worker', event: 'event that ended the placement', state: 'state of the task after the event' } },
  lost: { number: 4005, name: 'task-lost', level: 'warn', message: 'task declared lost', fields: { job: 'identifier of the job', index: 'index of the task in the job', worker: 'identifier of the worker', reason: 'why the task was declared lost' } },
  claimed: { number: 4006, name: 'worker-claimed', level: 'info', message: 'this node now supervises the tasks of a worker', fields: { worker: 'identifier of the worker', tasks: 'number of tasks placed on the worker' } },
  dropped: { number: 4007, name: 'worker-dropped', level: 'info', message: 'this node no longer supervises the tasks of a worker', fields: { worker: 'identifier of the worker' } },
  silent: { number: 4008, name: 'worker-silent', level: 'warn', message: 'no report from worker', fields: { worker: 'identifier of the worker', reason: 'why there is no report' } },
  parked: { number: 4009, name: 'task-parked', level: 'warn', message: 'tasks parked because the cell cannot run them at present', fields: { job: 'identifier of the job', reason: 'why the tasks cannot run' } },
  jobEnded: { number: 4010, name: 'job-ended', level: 'info', message: 'job ended', fields: { job: 'identifier of the job', state: 'final state of the job' } },
  cancelled: { number: 4011, name: 'job-cancelled', level: 'info', message: 'job marked for cancellation', fields: { job: 'identifier of the job' } },
  badRow: { number: 4012, name: 'job-row-unreadable', level: 'error', message: 'table row does not match its schema and is ignored', fields: { key: 'key of the row', problem: 'errors that the schema reports' } },
  badMessage: { number: 4013, name: 'job-message-unreadable', level: 'warn', message: 'job message does not match its schema and is dropped', fields: { from: 'incarnation of the sender', operation: 'operation named in the message' } },
  tableFault: { number: 4014, name: 'job-table-fault', level: 'warn', message: 'table transaction not committed', fields: { action: 'identifier of the transaction', outcome: 'what is known about the transaction', reason: 'message of the table' } },
  quarantined: { number: 4015, name: 'worker-quarantined', level: 'warn', message: 'worker quarantined because its runs fail far more often than those of other workers', fields: { worker: 'identifier of the worker', failures: 'number of recent runs that failed', runs: 'number of recent runs' } },
  preempted: { number: 4017, name: 'tasks-preempted', level: 'info', message: 'tasks preempted on a worker to free capacity for a job', fields: { job: 'identifier of the job that needs the capacity', worker: 'identifier of the worker', tasks: 'number of tasks preempted' } },
  fault: { number: 4016, name: 'job-loop-fault', level: 'error', message: 'a step of the job subsystem threw an error and will be retried', fields: { step: 'name of the step', error: 'the error' } }
} as const satisfies Record<string, LogEvent>

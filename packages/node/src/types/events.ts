import type { LogEvent } from '@rattanstep/telemetry'

/** Log events of the life of a node. */
export const EVENTS = {
  stateChanged: {
    number: 5100,
    name: 'node-state',
    level: 'info',
    message: 'The node passed to another state.',
    fields: { from: 'state before', to: 'state now', cause: 'what happened' }
  },
  listening: {
    number: 5101,
    name: 'node-listening',
    level: 'info',
    message: 'The node listens for operators and other nodes.',
    fields: { control: 'address for operators', peer: 'address for nodes' }
  },
  listUnavailable: {
    number: 5102,
    name: 'instance-list-lost',
    level: 'warn',
    message: 'The platform\'s list of instances does not answer; the newest known one is followed.',
    fields: { message: 'what the platform reported' }
  },
  listRestored: {
    number: 5103,
    name: 'instance-list-back',
    level: 'info',
    message: 'The platform\'s list of instances answers again.',
    fields: { lost: 'ms without an answer' }
  },
  operatorRefused: {
    number: 5104,
    name: 'operator-refused',
    level: 'warn',
    message: 'A control request without the secret was refused.',
    fields: { method: 'HTTP method', path: 'path asked for', address: 'where it came from' }
  },
  drained: {
    number: 5105,
    name: 'node-drained',
    level: 'info',
    message: 'The node handed over what it owned and serves no caller any more.',
    fields: { after: 'ms since the planned stop began', handedOver: 'whether everything was handed over in time' }
  },
  workerReportLost: {
    number: 5106,
    name: 'worker-report-lost',
    level: 'warn',
    message: 'A worker does not report what it runs.',
    fields: { worker: 'the worker', fault: 'kind of failure', message: 'what was reported' }
  },
  workerReportRestored: {
    number: 5107,
    name: 'worker-report-back',
    level: 'info',
    message: 'A worker reports again.',
    fields: { worker: 'the worker', lost: 'ms without a report' }
  },
  frontFailed: {
    number: 5109,
    name: 'front-failed',
    level: 'error',
    message: 'The node cannot listen for callers and stops.',
    fields: { error: 'what the system reported' }
  },
  preempted: {
    number: 5110,
    name: 'lower-tasks-preempted',
    level: 'info',
    message: 'Tasks of a lower class were told to leave a worker so that urgent work starts.',
    fields: { worker: 'the worker', class: 'class of the tasks', tasks: 'how many', priority: 'priority of the work that waits' }
  },
  seedFound: {
    number: 5108,
    name: 'seed-found',
    level: 'info',
    message: 'Another node was reached at an address of the settings.',
    fields: { peer: 'incarnation of the other node' }
  }
} as const satisfies Record<string, LogEvent>

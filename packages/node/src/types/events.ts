import type { LogEvent } from '@rattanstep/telemetry'

/** Log events of a node. */
export const EVENTS = {
  stateChanged: {
    number: 5100,
    name: 'node-state',
    level: 'info',
    message: 'The node changed state.',
    fields: { from: 'previous state', to: 'new state', cause: 'event that caused the change' }
  },
  listening: {
    number: 5101,
    name: 'node-listening',
    level: 'info',
    message: 'The node is listening for operators and other nodes.',
    fields: { control: 'address of the control interface', peer: 'address for other nodes' }
  },
  listUnavailable: {
    number: 5102,
    name: 'instance-list-lost',
    level: 'warn',
    message: 'The platform\'s instance list does not answer; the node uses the last known list.',
    fields: { message: 'error reported by the platform' }
  },
  listRestored: {
    number: 5103,
    name: 'instance-list-back',
    level: 'info',
    message: 'The platform\'s instance list answers again.',
    fields: { lost: 'ms without an answer' }
  },
  operatorRefused: {
    number: 5104,
    name: 'operator-refused',
    level: 'warn',
    message: 'A control request was refused because it carried no secret or a wrong one.',
    fields: { method: 'HTTP method', path: 'requested path', address: 'address of the client' }
  },
  drained: {
    number: 5105,
    name: 'node-drained',
    level: 'info',
    message: 'The planned stop has finished; the node no longer serves callers.',
    fields: { after: 'ms since the planned stop began', handedOver: 'whether everything was handed over within the time limit' }
  },
  workerReportLost: {
    number: 5106,
    name: 'worker-report-lost',
    level: 'warn',
    message: 'A request for the report of a worker failed.',
    fields: { worker: 'the worker', fault: 'kind of failure', message: 'error message' }
  },
  workerReportRestored: {
    number: 5107,
    name: 'worker-report-back',
    level: 'info',
    message: 'Requests for the report of a worker succeed again.',
    fields: { worker: 'the worker', lost: 'ms without a report' }
  },
  frontFailed: {
    number: 5109,
    name: 'front-failed',
    level: 'error',
    message: 'The node cannot listen for callers and is stopping.',
    fields: { error: 'error that prevented listening' }
  },
  preempted: {
    number: 5110,
    name: 'lower-tasks-preempted',
    level: 'info',
    message: 'Tasks of a lower class were told to leave a worker so that urgent work can start.',
    fields: { worker: 'the worker', class: 'class of the tasks', tasks: 'number of tasks', priority: 'priority of the waiting work' }
  },
  seedFound: {
    number: 5108,
    name: 'seed-found',
    level: 'info',
    message: 'Another node was reached at a seed address of the settings.',
    fields: { peer: 'incarnation of the other node' }
  }
} as const satisfies Record<string, LogEvent>

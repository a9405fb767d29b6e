import type { LogEvent } from '@rattanstep/telemetry'

/** Log events of the rules in force. */
export const EVENTS = {
  adopted: {
    number: 5000,
    name: 'rules-adopted',
    level: 'info',
    message: 'New rules are in force at this node.',
    fields: { version: 'version of the rules', previous: 'version before', source: 'where the node had them from' }
  },
  applied: {
    number: 5001,
    name: 'rules-applied',
    level: 'info',
    message: 'An operator changed the rules through this node.',
    fields: { version: 'version of the rules', classes: 'number of classes', routes: 'number of routes' }
  },
  refused: {
    number: 5002,
    name: 'rules-refused',
    level: 'warn',
    message: 'A change of the rules was not accepted.',
    fields: { reason: 'why', findings: 'number of findings', version: 'version in force' }
  },
  unreadable: {
    number: 5003,
    name: 'rules-unreadable',
    level: 'error',
    message: 'The stored rules cannot be read by this release; the rules before stay in force.',
    fields: { version: 'version that cannot be read', finding: 'first finding', source: 'where the node had them from' }
  },
  tableLost: {
    number: 5004,
    name: 'rules-table-lost',
    level: 'warn',
    message: 'The table does not answer; the node follows the rules that it and its peers know.',
    fields: { message: 'what the table reported', version: 'version in force' }
  },
  tableBack: {
    number: 5005,
    name: 'rules-table-back',
    level: 'info',
    message: 'The table answers again.',
    fields: { lost: 'ms without an answer', version: 'version in force' }
  }
} as const satisfies Record<string, LogEvent>

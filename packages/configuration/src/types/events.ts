import type { LogEvent } from '@rattanstep/telemetry'

/** Log events of `Configuration`. */
export const EVENTS = {
  adopted: {
    number: 5000,
    name: 'rules-adopted',
    level: 'info',
    message: 'New rules are in force at this node.',
    fields: { version: 'version now in force', previous: 'version in force before', source: 'where the node received the rules from' }
  },
  applied: {
    number: 5001,
    name: 'rules-applied',
    level: 'info',
    message: 'An operator changed the rules through this node, and the table stored them.',
    fields: { version: 'new version of the rules', classes: 'number of classes', routes: 'number of routes' }
  },
  refused: {
    number: 5002,
    name: 'rules-refused',
    level: 'warn',
    message: 'A change of the rules was rejected or could not be confirmed.',
    fields: { reason: 'kind of the failure', findings: 'number of findings in the text', version: 'version in force' }
  },
  unreadable: {
    number: 5003,
    name: 'rules-unreadable',
    level: 'error',
    message: 'This release cannot read the new version of the rules; the previous version stays in force.',
    fields: { version: 'version that cannot be read', finding: 'first finding in the text or row', source: 'where the node received the version from' }
  },
  tableLost: {
    number: 5004,
    name: 'rules-table-lost',
    level: 'warn',
    message: 'The table does not answer; the node keeps its rules and accepts newer ones from peers only.',
    fields: { message: 'error that the table returned', version: 'version in force' }
  },
  tableBack: {
    number: 5005,
    name: 'rules-table-back',
    level: 'info',
    message: 'The table answers again.',
    fields: { lost: 'length of the outage in ms', version: 'version in force' }
  }
} as const satisfies Record<string, LogEvent>

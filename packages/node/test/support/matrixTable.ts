import type { MessageKind } from '@rattanstep/core'

/** Point at which a fault is injected: a message is sent, a process makes a call, or a request is dispatched. */
export type Step = `message ${MessageKind}` | `call ${string}` | 'dispatch'

/** Kind of fault. */
export type FaultName =
  | 'sender dies'
  | 'receiver dies'
  | 'sender pauses'
  | 'receiver pauses'
  | 'message lost'
  | 'message doubled'
  | 'message late'
  | 'cut one way'
  | 'cut both ways'
  | 'sender cut off'
  | 'table down'
  | 'table slow'
  | 'table answers lost'
  | 'table writes late'
  | 'list down'
  | 'worker dies'
  | 'worker mute'
  | 'worker commands lost'

/** Group of steps, one section of the page each. */
export type Area = 'request' | 'keys' | 'ownership' | 'configuration' | 'tasks'

/** Steps of each area, in the order in which they happen. */
export const STEPS: Record<Area, Step[]> = {
  request: [
    'message ask',
    'message grant',
    'message refuse',
    'dispatch',
    'message release',
    'message permits',
    'message permits-request',
    'call report worker'
  ],
  keys: ['message key-claim', 'message key-verdict', 'message key-settle', 'message key-ack', 'message key-transfer'],
  ownership: [
    'message heartbeat',
    'message promise',
    'message vote-request',
    'message vote',
    'message assignment',
    'call read assignment',
    'call commit assignment'
  ],
  configuration: ['message rules', 'message fetch', 'call read rules', 'call commit rules'],
  tasks: [
    'message job',
    'call commit task',
    'call commit job',
    'call start task',
    'call renew task',
    'call stop task'
  ]
}

/** All faults, in the order of the columns of the page. */
export const FAULTS: FaultName[] = [
  'sender dies',
  'receiver dies',
  'sender pauses',
  'receiver pauses',
  'message lost',
  'message doubled',
  'message late',
  'cut one way',
  'cut both ways',
  'sender cut off',
  'table down',
  'table slow',
  'table answers lost',
  'table writes late',
  'list down',
  'worker dies',
  'worker mute',
  'worker commands lost'
]

const NEEDS_MESSAGE: ReadonlySet<FaultName> = new Set(['receiver dies', 'receiver pauses', 'message lost', 'message doubled', 'message late', 'cut one way', 'cut both ways'])

/**
 * @param step - a step
 * @param fault - a fault
 * @returns why the fault cannot be injected at the step, or `null` if it can
 */
export function whyNotApplicable (step: Step, fault: FaultName): string | null {
  if (!step.startsWith('message ') && NEEDS_MESSAGE.has(fault)) return 'no message between nodes at this step'
  return null
}

import { z } from 'zod'

/**
 * Bodies of the messages that nodes exchange about jobs.
 */

const nonNegativeInteger = z.number().int().min(0)
const nonNegative = z.number().min(0)
const MAX_ITEMS = 1024

/** Asks an owner to hold room. */
export const HOLD_BODY = z.object({
  unit: z.string().min(1),
  job: z.string().min(1),
  submitted: z.number(),
  class: z.string(),
  team: z.string(),
  /** Priority of the class, raised by ageing. */
  priority: z.number(),
  /** Whether jobs of lower priority, and younger ones of the same, are to be kept from the room that this one waits for. */
  insists: z.boolean(),
  /** Tasks of classes below this priority may be moved off to make room; `null` for none. */
  preemptsBelow: z.number().nullable(),
  needs: z.array(z.object({
    index: nonNegativeInteger,
    resources: z.object({ slots: nonNegative, cores: nonNegative, memory: nonNegative, accelerators: nonNegative }),
    avoid: z.array(z.string()).max(MAX_ITEMS)
  })).max(MAX_ITEMS)
})

/** An owner's answer: what it holds. */
export const HELD_BODY = z.object({
  unit: z.string().min(1),
  holds: z.array(z.object({
    index: nonNegativeInteger,
    worker: z.string().min(1),
    /** Version of the worker's keeper row, which the placement must check. */
    version: nonNegativeInteger,
    hold: z.string().min(1)
  })).max(MAX_ITEMS)
})

/** Gives holds back: the placement did not take effect and never will. */
export const RELEASE_BODY = z.object({ unit: z.string().min(1) })

/** Says that placements were written under the holds named; other holds of the unit were not used. */
export const COMMITTED_BODY = z.object({ unit: z.string().min(1), workers: z.array(z.string()).max(MAX_ITEMS), holds: z.array(z.string()).max(MAX_ITEMS) })

/** Tells the driver of jobs that something has happened to them. */
export const CHANGED_BODY = z.object({ jobs: z.array(z.string()).max(MAX_ITEMS) })

/** Tells owners that placements on their workers have changed. */
export const STIRRED_BODY = z.object({ workers: z.array(z.string()).max(MAX_ITEMS) })

/** Schema of each operation. */
export const OPERATIONS = { hold: HOLD_BODY, held: HELD_BODY, release: RELEASE_BODY, committed: COMMITTED_BODY, changed: CHANGED_BODY, stirred: STIRRED_BODY }

/** Names of the operations. */
export type Operation = keyof typeof OPERATIONS
/** Body of an operation. */
export type MessageBody<Name extends Operation> = z.infer<typeof OPERATIONS[Name]>
/** A request for room. */
export type HoldRequest = z.infer<typeof HOLD_BODY>
/** Room held for one task. */
export type Hold = z.infer<typeof HELD_BODY>['holds'][number]

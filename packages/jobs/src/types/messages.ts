import { z } from 'zod'

/**
 * Bodies of the messages that nodes exchange about jobs.
 */

const count = z.number().int().min(0)
const amount = z.number().min(0)
const MAX_ITEMS = 1024

/** Asks an owner to hold room. */
export const HOLD = z.object({
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
    index: count,
    resources: z.object({ slots: amount, cores: amount, memory: amount, accelerators: amount }),
    avoid: z.array(z.string()).max(MAX_ITEMS)
  })).max(MAX_ITEMS)
})

/** An owner's answer: what it holds. */
export const HELD = z.object({
  unit: z.string().min(1),
  holds: z.array(z.object({
    index: count,
    worker: z.string().min(1),
    /** Version of the worker's keeper row, which the placement must check. */
    version: count,
    hold: z.string().min(1)
  })).max(MAX_ITEMS)
})

/** Gives holds back: the placement did not take effect and never will. */
export const RELEASE = z.object({ unit: z.string().min(1) })

/** Says that placements were written under the holds named; other holds of the unit were not used. */
export const COMMITTED = z.object({ unit: z.string().min(1), workers: z.array(z.string()).max(MAX_ITEMS), holds: z.array(z.string()).max(MAX_ITEMS) })

/** Tells the driver of jobs that something has happened to them. */
export const CHANGED = z.object({ jobs: z.array(z.string()).max(MAX_ITEMS) })

/** Tells owners that placements on their workers have changed. */
export const STIRRED = z.object({ workers: z.array(z.string()).max(MAX_ITEMS) })

/** Schema of each operation. */
export const OPERATIONS = { hold: HOLD, held: HELD, release: RELEASE, committed: COMMITTED, changed: CHANGED, stirred: STIRRED }

/** Names of the operations. */
export type Operation = keyof typeof OPERATIONS
/** Body of an operation. */
export type Body<Name extends Operation> = z.infer<typeof OPERATIONS[Name]>
/** A request for room. */
export type HoldRequest = z.infer<typeof HOLD>
/** Room held for one task. */
export type Hold = z.infer<typeof HELD>['holds'][number]

import { z } from 'zod'

/**
 * Schemas for the bodies of the messages that nodes exchange about jobs. Drivers place the tasks of jobs; owners
 * supervise workers and grant capacity on them.
 */

const nonNegativeInteger = z.number().int().min(0)
const nonNegative = z.number().min(0)
const MAX_ITEMS = 1024

/** `hold`: a driver asks an owner to hold capacity for tasks. */
export const HOLD_BODY = z.object({
  unit: z.string().min(1),
  job: z.string().min(1),
  submitted: z.number(),
  class: z.string(),
  team: z.string(),
  /** Priority of the class, raised by the age of the job. */
  priority: z.number(),
  /** Whether the owner reserves capacity for this job: it holds none for jobs of lower priority or younger jobs of the same priority. */
  insists: z.boolean(),
  /** Tasks of classes below this priority may be preempted to free capacity; `null` for none. */
  preemptsBelow: z.number().nullable(),
  needs: z.array(z.object({
    index: nonNegativeInteger,
    resources: z.object({ slots: nonNegative, cores: nonNegative, memory: nonNegative, accelerators: nonNegative }),
    avoid: z.array(z.string()).max(MAX_ITEMS)
  })).max(MAX_ITEMS)
})

/** `held`: the owner answers with the holds that it granted. */
export const HELD_BODY = z.object({
  unit: z.string().min(1),
  holds: z.array(z.object({
    index: nonNegativeInteger,
    worker: z.string().min(1),
    /** Version of the worker's claim row; the transaction that writes the placement must check it. */
    version: nonNegativeInteger,
    hold: z.string().min(1)
  })).max(MAX_ITEMS)
})

/** `release`: the driver returns all holds of a unit, because their placement was not written and never will be. */
export const RELEASE_BODY = z.object({ unit: z.string().min(1) })

/** `committed`: the driver has written placements under the named holds; the other holds of the unit are unused. */
export const COMMITTED_BODY = z.object({ unit: z.string().min(1), workers: z.array(z.string()).max(MAX_ITEMS), holds: z.array(z.string()).max(MAX_ITEMS) })

/** `changed`: notifies the driver of jobs that tasks of these jobs have changed. */
export const CHANGED_BODY = z.object({ jobs: z.array(z.string()).max(MAX_ITEMS) })

/** `stirred`: notifies owners that placements on their workers have changed. */
export const STIRRED_BODY = z.object({ workers: z.array(z.string()).max(MAX_ITEMS) })

/** Schema of the body of each operation. */
export const OPERATIONS = { hold: HOLD_BODY, held: HELD_BODY, release: RELEASE_BODY, committed: COMMITTED_BODY, changed: CHANGED_BODY, stirred: STIRRED_BODY }

/** Name of an operation. */
export type Operation = keyof typeof OPERATIONS
/** Body of an operation. */
export type MessageBody<Name extends Operation> = z.infer<typeof OPERATIONS[Name]>
/** A request to hold capacity. */
export type HoldRequest = z.infer<typeof HOLD_BODY>
/** Capacity held on a worker for one task. */
export type Hold = z.infer<typeof HELD_BODY>['holds'][number]

import { z } from 'zod'

/**
 * Schemas of the requests to the platform and the workers, and of their responses.
 */

const text = z.string()
const amount = z.number().min(0)

/** Resources that an instance has or that work requires. */
export const RESOURCES = z.object({ slots: amount, cores: amount, memory: amount, accelerators: amount })

/** One row of the table. */
export const ROW = z.object({ key: text, version: z.number().int().min(1), value: text, operation: text })

/** Rows of the table. */
export const ROWS = z.object({ rows: z.array(ROW) })

/** A request to read rows. */
export const READ = z.object({ keys: z.array(text) })

/** A request to list rows. */
export const RANGE = z.object({ prefix: text, after: text.optional(), limit: z.number().int().min(0).optional() })

/** A request to change rows. */
export const TRANSACTION = z.object({
  operation: text,
  checks: z.array(z.object({ key: text, version: z.number().int().min(0) })),
  writes: z.array(z.object({ key: text, value: text.nullable() }))
})

/** An error response of the platform. */
export const FAULT = z.object({ fault: z.enum(['conflict', 'unavailable', 'unknown']), message: text })

/** A host and a port. */
export const ADDRESS = z.object({ host: text.min(1), port: z.number().int().min(0).max(65535) })

/** One entry of the instance list. */
export const INSTANCE = z.object({
  id: text.min(1),
  role: z.enum(['worker', 'entry']),
  state: z.enum(['live', 'leaving']),
  dataCentre: text,
  rack: text,
  address: ADDRESS,
  resources: RESOURCES,
  connections: amount
})

/** The instance list. */
export const INSTANCES = z.object({ instances: z.array(INSTANCE) })

const fence = z.number().int().min(0)
const moment = z.object({ epoch: text, time: z.number() })

/** One placement of a task, identified by task and fencing token. */
export const TASK = z.object({ task: text.min(1), fence })

/** The lease of a placement. */
export const LEASE = TASK.extend({ duration: amount, validUntil: moment.optional() })

/** A command that starts a task. */
export const START = LEASE.extend({ command: text, resources: RESOURCES, checkpoint: text })

/** A command that extends leases. */
export const RENEW = z.object({ leases: z.array(LEASE) })

/** A command that stops tasks. */
export const STOP = z.object({ tasks: z.array(TASK) })

/** A command that limits the speed of a task; 1 is full speed. */
export const THROTTLE = TASK.extend({ speed: z.number().min(0).max(1) })

/** Response to a renewal: tasks that the worker does not run. */
export const MISSING = z.object({ missing: z.array(text) })

/** Response to a checkpoint command. */
export const CHECKPOINT = z.object({ object: text })

/** Response without content. */
export const EMPTY = z.object({})

/** An error response of a worker. */
export const WORKER_FAULT = z.object({ fault: z.enum(['refused', 'unreachable', 'unknown']), message: text })

/** A worker's report. */
export const REPORT = z.object({
  worker: text,
  lag: amount,
  tasks: z.array(TASK.extend({
    state: z.enum(['running', 'done', 'failed', 'stopped']),
    usage: RESOURCES,
    speed: z.number().min(0).max(1),
    checkpoint: text
  })),
  requests: amount,
  connections: amount,
  moment: moment.optional()
})

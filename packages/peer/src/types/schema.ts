import { z } from 'zod'

/**
 * Schemas that validate messages from other nodes before they are processed.
 */

const MAX_NAME_LENGTH = 512
const MAX_LIST_LENGTH = 100_000

const name = z.string().max(MAX_NAME_LENGTH)
const list = <T extends z.ZodType>(item: T): z.ZodArray<T> => z.array(item).max(MAX_LIST_LENGTH)
const amount = z.number().min(0)
const port = z.number().int().min(0).max(65_535)

const address = z.object({ host: name, port })
const resources = z.object({ slots: amount, cores: amount, memory: amount, accelerators: amount })
const waiting = z.object({ priority: z.number(), count: amount, wait: amount })
const load = z.object({ slots: amount, free: z.number(), waiting: list(waiting), service: amount })
const holder = z.object({ incarnation: name, dataCentre: name, peer: address, draining: z.boolean() })
const assignment = z.object({
  version: amount,
  holders: list(holder),
  owners: z.record(name, name),
  voters: list(name),
  nextVoters: list(name).nullable()
})
const ask = z.object({
  id: name,
  class: name,
  caller: name,
  team: name,
  resources,
  patience: amount,
  waited: amount,
  avoid: list(name)
})
const grant = z.object({ ask: name, permit: name, worker: name, address, waited: amount, version: amount })
const refusalReason = z.enum([
  'patience', 'queue-full', 'caller-limit', 'no-worker', 'never-fits', 'not-owner', 'draining', 'cancelled', 'no-owner', 'quota'
])
const refusal = z.object({ ask: name, reason: refusalReason, retryAfter: amount, redirect: name })
const ending = z.enum(['completed', 'failed', 'abandoned', 'unsent', 'cancelled'])
const release = z.object({ permit: name, worker: name, ending, serviceTime: amount })
const permit = z.object({ permit: name, worker: name, class: name, caller: name, team: name, resources, age: amount })
const outcome = z.enum(['run', 'not-run', 'unknown'])
const answer = z.object({
  status: z.number().int(),
  headers: list(z.tuple([z.string(), z.string()])),
  body: z.string()
}).nullable()
const verdict = z.enum(['first', 'running', 'settled', 'clash', 'forgotten', 'not-home', 'full'])
const keyEntry = z.object({
  key: name,
  claim: name,
  fingerprint: name,
  outcome: z.enum(['run', 'not-run', 'unknown', 'running']),
  answer,
  age: amount
})

/** Schema of every kind of message, discriminated by `kind`. */
export const messageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('heartbeat'),
    version: amount,
    sentAt: z.number(),
    wantsPromise: z.boolean(),
    countsBy: list(name),
    rules: amount,
    load: load.nullable()
  }),
  z.object({ kind: z.literal('promise'), version: amount, sentAt: z.number(), granted: z.boolean() }),
  z.object({ kind: z.literal('vote-request'), holder: name, version: amount }),
  z.object({ kind: z.literal('vote'), holder: name, version: amount, granted: z.boolean() }),
  z.object({ kind: z.literal('assignment'), assignment }),
  z.object({ kind: z.literal('rules'), version: amount, text: z.string() }),
  z.object({ kind: z.literal('fetch'), what: z.enum(['assignment', 'rules']) }),
  z.object({ kind: z.literal('ask'), asks: list(ask) }),
  z.object({ kind: z.literal('grant'), grants: list(grant) }),
  z.object({ kind: z.literal('refuse'), refusals: list(refusal) }),
  z.object({ kind: z.literal('release'), releases: list(release) }),
  z.object({ kind: z.literal('cancel'), asks: list(name) }),
  z.object({ kind: z.literal('permits'), version: amount, permits: list(permit) }),
  z.object({ kind: z.literal('permits-request'), version: amount, workers: list(name) }),
  z.object({
    kind: z.literal('key-claim'),
    id: name,
    shard: amount,
    key: name,
    fingerprint: name,
    firstSent: z.number()
  }),
  z.object({ kind: z.literal('key-verdict'), id: name, verdict, outcome, answer }),
  z.object({ kind: z.literal('key-settle'), shard: amount, key: name, claim: name, fingerprint: name, outcome, answer }),
  z.object({
    kind: z.literal('key-transfer'),
    shard: amount,
    version: amount,
    epoch: amount,
    part: amount,
    parts: amount,
    entries: list(keyEntry)
  }),
  z.object({ kind: z.literal('key-ack'), id: name }),
  z.object({ kind: z.literal('job'), id: name, operation: name, body: z.string() })
])

import type { Message, MessageKind, StoredAnswer } from '@rattanstep/core'
import { messageSchema } from '../types/schema.js'
import type { Envelope, Fields } from '../types/wire.js'

/**
 * Converts between messages and the envelopes of the peer protocol.
 */

/** Field of the envelope that carries the messages of each kind. */
const FIELD_BY_KIND: Record<MessageKind, string> = {
  heartbeat: 'heartbeat',
  promise: 'promise',
  'vote-request': 'voteRequest',
  vote: 'vote',
  assignment: 'assignment',
  rules: 'rules',
  fetch: 'fetch',
  ask: 'ask',
  grant: 'grant',
  refuse: 'refuse',
  release: 'release',
  cancel: 'cancel',
  permits: 'permits',
  'permits-request': 'permitsRequest',
  'key-claim': 'keyClaim',
  'key-verdict': 'keyVerdict',
  'key-settle': 'keySettle',
  'key-transfer': 'keyTransfer',
  'key-ack': 'keyAck',
  job: 'job'
}

const KIND_BY_FIELD = new Map(Object.entries(FIELD_BY_KIND).map(([kind, field]) => [field, kind]))

/**
 * Converts a message to an envelope.
 *
 * @param message - a message
 * @returns the envelope to send
 */
export function encodeMessage (message: Message): Envelope {
  return { [FIELD_BY_KIND[message.kind]]: encodeFields(message) }
}

/**
 * Converts an envelope to a message and validates it.
 *
 * @param envelope - an envelope as received
 * @returns the message, or `null` when its kind is unknown or its fields are invalid
 */
export function decodeMessage (envelope: Envelope): Message | null {
  const kind = KIND_BY_FIELD.get(envelope.body ?? '')
  if (kind === undefined) return null
  const fields = envelope[envelope.body!] as Fields | null
  const parsed = messageSchema.safeParse({ ...decodeFields(kind as MessageKind, fields ?? {}), kind })
  return parsed.success ? parsed.data as Message : null
}

function encodeFields (message: Message): Fields {
  switch (message.kind) {
    case 'assignment': {
      // A repeated field of protobuf cannot be absent, so the list is wrapped in a message that can be null.
      const { nextVoters, ...rest } = message.assignment
      const voters = nextVoters === null ? null : { incarnations: nextVoters }
      return { assignment: { ...rest, nextVoters: voters } }
    }
    case 'key-verdict':
    case 'key-settle':
      return { ...message, answer: encodeAnswer(message.answer) }
    case 'key-transfer':
      return { ...message, entries: message.entries.map(entry => ({ ...entry, answer: encodeAnswer(entry.answer) })) }
    default:
      return { ...message }
  }
}

function decodeFields (kind: MessageKind, fields: Fields): Fields {
  switch (kind) {
    case 'assignment':
      return { assignment: decodeAssignment(toFields(fields.assignment)) }
    case 'key-verdict':
    case 'key-settle':
      return { ...fields, answer: decodeAnswer(fields.answer) }
    case 'key-transfer':
      return { ...fields, entries: toFieldsList(fields.entries).map(entry => ({ ...entry, answer: decodeAnswer(entry.answer) })) }
    default:
      return fields
  }
}

function decodeAssignment (assignment: Fields): Fields {
  const { nextVoters } = assignment
  return { ...assignment, nextVoters: nextVoters === null ? null : toFields(nextVoters).incarnations }
}

function encodeAnswer (answer: StoredAnswer | null): Fields | null {
  if (answer === null) return null
  return { ...answer, headers: answer.headers.map(([name, value]) => ({ name, value })) }
}

function decodeAnswer (answer: unknown): Fields | null {
  if (answer === null) return null
  const fields = toFields(answer)
  return { ...fields, headers: toFieldsList(fields.headers).map(({ name, value }) => [name, value]) }
}

function toFields (value: unknown): Fields {
  return typeof value === 'object' && value !== null ? value as Fields : {}
}

function toFieldsList (value: unknown): Fields[] {
  return Array.isArray(value) ? value.map(toFields) : []
}

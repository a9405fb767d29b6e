import type { Assignment, Incarnation } from './assignment.js'
import type { Ask, Grant, Load, Outcome, Permit, Refusal, Release } from './request.js'

/** Sent to voters and peers at every heartbeat. */
export interface HeartbeatMessage {
  kind: 'heartbeat'
  /** Version of the assignment that the sender follows. */
  version: number
  /** Sender's monotonic time in ms at which the message was made; echoed by a promise. */
  sentAt: number
  /** Whether the sender asks the receiver for a promise. */
  wantsPromise: boolean
  /** Which voters the sender counts by: incarnations, sorted. */
  countsBy: Incarnation[]
  /** Version of the rules in force at the sender. */
  rules: number
  load: Load | null
}

/** A voter's answer to a heartbeat. */
export interface PromiseMessage {
  kind: 'promise'
  /** Version that the voter follows. */
  version: number
  /** `sentAt` of the heartbeat that this answers. */
  sentAt: number
  granted: boolean
}

/** Asks a voter to back the removal of a holder. */
export interface VoteRequestMessage {
  kind: 'vote-request'
  holder: Incarnation
  version: number
}

/** A voter's answer. A granted vote never lapses. */
export interface VoteMessage {
  kind: 'vote'
  holder: Incarnation
  version: number
  granted: boolean
}

/** Tells a node about a newer assignment. */
export interface AssignmentMessage {
  kind: 'assignment'
  assignment: Assignment
}

/** Tells a node about newer rules. */
export interface RulesMessage {
  kind: 'rules'
  version: number
  text: string
}

/** Asks a node for the rules or the assignment that it follows. */
export interface FetchMessage {
  kind: 'fetch'
  what: 'assignment' | 'rules'
}

/** Requests for room. */
export interface AskMessage { kind: 'ask', asks: Ask[] }
/** Room given. */
export interface GrantMessage { kind: 'grant', grants: Grant[] }
/** Room refused. */
export interface RefuseMessage { kind: 'refuse', refusals: Refusal[] }
/** Permits given back. */
export interface ReleaseMessage { kind: 'release', releases: Release[] }
/** Requests for room withdrawn. */
export interface CancelMessage { kind: 'cancel', asks: string[] }

/** All permits that the sender uses at workers owned by the receiver; renews them. */
export interface PermitsMessage {
  kind: 'permits'
  version: number
  permits: Permit[]
}

/** Asks a front for the permits that it uses at the workers named. */
export interface PermitsRequestMessage {
  kind: 'permits-request'
  version: number
  workers: string[]
}

/** What a key's home remembers of an answered request. */
export interface StoredAnswer {
  status: number
  headers: Array<[string, string]>
  /** Base64. */
  body: string
}

/** Asks a key's home whether the request may run. */
export interface KeyClaimMessage {
  kind: 'key-claim'
  id: string
  shard: number
  key: string
  /** Hash of method, path and body length that tells a repeat from a clash. */
  fingerprint: string
  /** Wall-clock ms at which the caller first sent the request; 0 when not known. */
  firstSent: number
}

/** How a key's home answers a claim. */
export type KeyVerdict =
  | 'first'    // never seen: run it
  | 'running'  // seen, outcome not yet known
  | 'settled'  // seen and ended; `outcome` and perhaps `answer` are set
  | 'clash'    // same key, another request
  | 'forgotten' // may have been seen by an earlier home: it must not run
  | 'not-home' // the asked node does not own the shard now
  | 'full'     // no room to remember another key: it must not run now

/** A home's answer. */
export interface KeyVerdictMessage {
  kind: 'key-verdict'
  id: string
  verdict: KeyVerdict
  outcome: Outcome
  answer: StoredAnswer | null
}

/** Tells a key's home how the request ended. `not-run` frees the key. */
export interface KeySettleMessage {
  kind: 'key-settle'
  shard: number
  key: string
  /** `id` of the claim that was answered with `first`; another claim of the key is left alone. */
  claim: string
  fingerprint: string
  outcome: Outcome
  answer: StoredAnswer | null
}

/** One remembered key. */
export interface KeyEntry {
  key: string
  /** `id` of the claim that may run the request. */
  claim: string
  fingerprint: string
  outcome: Outcome | 'running'
  answer: StoredAnswer | null
  /** Milliseconds since the key was claimed. */
  age: number
}

/** Hands the keys of a shard to its next home at a planned stop or move. */
export interface KeyTransferMessage {
  kind: 'key-transfer'
  shard: number
  /** Version of the assignment that made the receiver the home. */
  version: number
  /** Wall-clock ms before which the sender cannot know the keys; 0 when it knows them all. */
  epoch: number
  /** Number of this part, from 0. */
  part: number
  /** Number of parts of the transfer. */
  parts: number
  entries: KeyEntry[]
}

/** Confirms a `key-settle` (by its claim) or a part of a `key-transfer`, which is sent again until then. */
export interface KeyAckMessage {
  kind: 'key-ack'
  id: string
}

/** Requests and answers of the job subsystem, whose shape is known to it alone. */
export interface JobMessage {
  kind: 'job'
  id: string
  /** Name of the operation. */
  operation: string
  /** JSON, checked by the receiver. */
  body: string
}

/** Everything that nodes say to each other. */
export type Message =
  | HeartbeatMessage
  | PromiseMessage
  | VoteRequestMessage
  | VoteMessage
  | AssignmentMessage
  | RulesMessage
  | FetchMessage
  | AskMessage
  | GrantMessage
  | RefuseMessage
  | ReleaseMessage
  | CancelMessage
  | PermitsMessage
  | PermitsRequestMessage
  | KeyClaimMessage
  | KeyVerdictMessage
  | KeySettleMessage
  | KeyTransferMessage
  | KeyAckMessage
  | JobMessage

/** Kinds of message. */
export type MessageKind = Message['kind']

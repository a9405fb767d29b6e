import type { Assignment, Incarnation } from './assignment.js'
import type { Ask, Grant, Load, Outcome, Permit, Refusal, Release } from './request.js'

/** Sent to voters and peers at a regular interval. */
export interface HeartbeatMessage {
  kind: 'heartbeat'
  /** Version of the assignment that the sender follows. */
  version: number
  /** Sender's monotonic time in ms at which the message was created; a promise returns it. */
  sentAt: number
  /** Whether the sender asks the receiver for a promise. */
  wantsPromise: boolean
  /** Voters whose promises the sender counts: sorted incarnations. */
  countsBy: Incarnation[]
  /** Version of the rules in force at the sender. */
  rules: number
  load: Load | null
}

/** A voter's answer to a heartbeat. While a granted promise lasts, the voter does not vote for the removal of the sender. */
export interface PromiseMessage {
  kind: 'promise'
  /** Version that the voter follows. */
  version: number
  /** `sentAt` of the heartbeat that this message answers. */
  sentAt: number
  granted: boolean
}

/** Asks a voter to vote for the removal of a holder. */
export interface VoteRequestMessage {
  kind: 'vote-request'
  holder: Incarnation
  version: number
}

/** A voter's answer to a vote request. A granted vote never expires. */
export interface VoteMessage {
  kind: 'vote'
  holder: Incarnation
  version: number
  granted: boolean
}

/** Sends a newer assignment to a node. */
export interface AssignmentMessage {
  kind: 'assignment'
  assignment: Assignment
}

/** Sends newer rules to a node. */
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

/** Requests capacity. */
export interface AskMessage { kind: 'ask', asks: Ask[] }
/** Grants capacity. */
export interface GrantMessage { kind: 'grant', grants: Grant[] }
/** Refuses capacity. */
export interface RefuseMessage { kind: 'refuse', refusals: Refusal[] }
/** Releases permits. */
export interface ReleaseMessage { kind: 'release', releases: Release[] }
/** Cancels requests for capacity. */
export interface CancelMessage { kind: 'cancel', asks: string[] }

/** Lists all permits that the sender uses at workers owned by the receiver, and renews them. */
export interface PermitsMessage {
  kind: 'permits'
  version: number
  permits: Permit[]
}

/** Asks a front for the permits that it uses at the given workers. */
export interface PermitsRequestMessage {
  kind: 'permits-request'
  version: number
  workers: string[]
}

/** Answer to a request, as stored by the home of its idempotency key. */
export interface StoredAnswer {
  status: number
  headers: Array<[string, string]>
  /** Base64. */
  body: string
}

/** Asks the home of an idempotency key, which is the node that owns the key's shard, whether the request may run. */
export interface KeyClaimMessage {
  kind: 'key-claim'
  id: string
  shard: number
  key: string
  /** Hash of method, path and body length, which distinguishes a repeated request from another one with the same key. */
  fingerprint: string
  /** Wall-clock time in ms since 1970 at which the caller first sent the request; 0 when it is not known. */
  firstSent: number
}

/** Answer of a key's home to a claim. */
export type KeyVerdict =
  | 'first'    // the key is new: the request may run
  | 'running'  // the key is known, and the outcome of its request is not known yet
  | 'settled'  // the key is known, and its request has ended; `outcome` and possibly `answer` are set
  | 'clash'    // the key was used for another request
  | 'forgotten' // a previous home may have known the key: the request must not run
  | 'not-home' // the receiver of the claim does not own the shard at present
  | 'full'     // the home cannot store another key: the request must not run at present

/** Sends the answer of a key's home to a claim. */
export interface KeyVerdictMessage {
  kind: 'key-verdict'
  id: string
  verdict: KeyVerdict
  outcome: Outcome
  answer: StoredAnswer | null
}

/** Reports to a key's home how the request ended. `not-run` frees the key. */
export interface KeySettleMessage {
  kind: 'key-settle'
  shard: number
  key: string
  /** `id` of the claim that was answered with `first`; other claims of the key are not affected. */
  claim: string
  fingerprint: string
  outcome: Outcome
  answer: StoredAnswer | null
}

/** One stored idempotency key. */
export interface KeyEntry {
  key: string
  /** `id` of the claim that may run the request. */
  claim: string
  fingerprint: string
  outcome: Outcome | 'running'
  answer: StoredAnswer | null
  /** Time in ms since the key was claimed. */
  age: number
}

/** Transfers the keys of a shard to its next home in a planned stop or move. */
export interface KeyTransferMessage {
  kind: 'key-transfer'
  shard: number
  /** Version of the assignment under which the receiver became the home. */
  version: number
  /** Wall-clock time in ms since 1970; the sender may lack keys that are older. 0 when it has all keys. */
  epoch: number
  /** Number of this part, from 0. */
  part: number
  /** Number of parts of the transfer. */
  parts: number
  entries: KeyEntry[]
}

/** Acknowledges a `key-settle` (by its claim) or a part of a `key-transfer`; these are resent until acknowledged. */
export interface KeyAckMessage {
  kind: 'key-ack'
  id: string
}

/** Carries a request or an answer of the job subsystem, which alone interprets the body. */
export interface JobMessage {
  kind: 'job'
  id: string
  /** Name of the operation. */
  operation: string
  /** JSON that the receiver validates. */
  body: string
}

/** Any message between nodes. */
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

/** Discriminator of messages. */
export type MessageKind = Message['kind']

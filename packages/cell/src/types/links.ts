import type { BacklogReport, OpenJobReport } from '@rattanstep/policy'
import type { ExplainQuery, Explanation } from './explain.js'
import type { ExecuteMessage, WorkerCallResult } from './execution.js'
import type { Job, JobPhase } from './job.js'
import type { Advice } from './ports.js'
import type { WriteRequest } from '../runtime/Gateway.js'
import type { WriteOutcome } from '../runtime/SubmissionWriter.js'

/** Message from a follower to the decider. */
export type FollowerMessage =
  | { kind: 'hello', node: string, dataCentre: string, /** `HOST:PORT` at which other nodes reach the sender */ address: string, /** see `CellSettings.strength` */ strength: number, /** ms since the process started */ age: number, /** weight in bytes of the open jobs that the sender could hold as decider; absent from nodes of an earlier version of the program */ openJobLimit?: number }
  | { kind: 'beat', /** ms since the store last answered this node */ storeSilence: number, /** ms for which the store has refused this node's calls */ storeFailing?: number, term: number, configuration: number }
  | { kind: 'job', job: Job, /** version of the row that stores the job; absent from nodes of an earlier version of the program */ version?: number }
  | { kind: 'cancel', id: string }
  | { kind: 'ask', call: number, question: Question }
  /** Asks the decider's node to write a request to the store; `patience` is the timeout in ms. */
  | { kind: 'record', call: number, wish: WriteRequest, patience: number }
  | { kind: 'advised', call: number, advice: Advice }
  /** The sender will not claim the term that it was offered, because the store does not answer it. */
  | { kind: 'declined' }
  /** The sender has claimed the term with this fencing token. It is the only message on its link. Nodes of an earlier version of the program send no `decider`. */
  | { kind: 'claimed', fence: number, decider?: { node: string, start: string, address: string } }
  | ConfigurationMessage
  /** Results of calls to workers. */
  | { kind: 'executed', results: Array<{ call: number, result: WorkerCallResult }> }

/** Message by which a node that the store does not answer gets a newer version of the configuration. Nodes of an earlier version of the program ignore it. */
export type ConfigurationMessage =
  /** Asks for the text of a version that is newer than the sender's. */
  | { kind: 'configuration-wanted', newerThan: number }
  /** Text of the configuration, as in the store. */
  | { kind: 'configuration-text', text: string }

/** Reason for which the decider asks a follower to claim the term. */
export type SuccessionReason = 'stopping' | 'store-unreachable' | 'stronger'

/** Message from the decider to a follower. */
export type DeciderMessage =
  | { kind: 'welcome', term: number }
  /** Answer to `hello` from a node that is not the decider. */
  | { kind: 'elsewhere' }
  | { kind: 'beat', /** place in the order of succession, from 0 */ rank: number, /** ms until the next heartbeat, in both directions */ interval: number, configuration: number, /** ms on the store's clock at which the store confirmed that no newer version exists; absent if it has not, and from nodes of an earlier version of the program */ configurationConfirmedAt?: number, /** ms since the store last answered the decider */ storeSilence: number, /** longest time in ms between two recent confirmations of the term, if it is longer than while the decider and the store are idle */ confirmationInterval?: number, /** waiting work, if nodes may refuse more of it */ backlog?: BacklogReport, /** what the open jobs take, unless that is little */ openJobs?: OpenJobReport }
  | { kind: 'answer', call: number, answer: Answer }
  | { kind: 'recorded', call: number, outcome: WriteOutcome }
  | { kind: 'advise', call: number, step: string, workers: string[], timeout: number }
  /** Addresses of all followers, for the announcement of the receiver's term if it claims one. */
  | { kind: 'members', addresses: string[] }
  | ConfigurationMessage
  | ExecuteMessage
  /** The receiver should claim the term now. */
  | { kind: 'succeed', reason: SuccessionReason }

/** `busy`: the decider has explained another job a moment ago; `not-ready`: it has not read the records yet */
export type ExplanationAnswer = { about: 'explanation', explanation: Explanation } | { about: 'explanation', problem: 'busy' | 'not-ready' }

/** Query of a node to the decider. */
export type Question =
  | { about: 'job', id: string }
  | { about: 'queue', route: string }
  | { about: 'explanation', query: ExplainQuery }

/** Answer of the decider to a query. */
export type Answer =
  /** `phase`: `unknown` if only the store can tell; `assumed`: the last phase that the decider knew, if no other node can have claimed the term since */
  | { about: 'job', phase: JobPhase | 'unknown', assumed?: JobPhase }
  /** `waiting`: number of accepted jobs of which no task has started, or -1 if it is not known */
  | { about: 'queue', waiting: number }
  | ExplanationAnswer

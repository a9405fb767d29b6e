import type { Readable } from 'node:stream'
import type { Address } from '@rattanstep/core'

/** Header fields as name and value, in the order and spelling in which they were sent. */
export type HeaderList = Array<[string, string]>

/**
 * Progress of one attempt to run a request.
 * - `dispatching`: no byte can have reached the endpoint
 * - `sending`: bytes may have been sent, and no answer has arrived
 * - `answering`: the head of the answer has arrived
 * - `ended`: the complete answer has arrived
 */
export type RunStep = 'dispatching' | 'sending' | 'answering' | 'ended'

/** Why one attempt did not end with a complete answer. */
export type RunFault =
  | 'refused'        // no connection could be opened
  | 'no-connection'  // all connections that this node may have to the worker are in use
  | 'stale-permit'   // the permit has expired
  | 'unsendable'     // the request cannot be written as HTTP/1.1
  | 'reset'          // the connection ended before the complete answer
  | 'garbage'        // the endpoint's bytes are not a valid answer
  | 'silent'         // no byte arrived for the probe time
  | 'bound'          // the run exceeded the bound of its class
  | 'deadline'       // the run exceeded the caller's own deadline
  | 'body'           // the caller's body was incomplete, too large or too slow
  | 'caller-gone'    // the caller closed its connection
  | 'caller-slow'    // the caller stopped reading the answer

/** One attempt to run a request on one worker. */
export interface Run {
  worker: string
  address: Address
  method: string
  path: string
  /** Names and values, alternating. */
  headers: string[]
  body: Buffer | Readable | null
  /** Whether a reused connection must have been active recently. */
  fresh: boolean
  /** Maximum run time in ms. */
  bound: number
  /** Which limit sets the bound: that of the class, or the deadline of the caller. */
  boundBy: 'bound' | 'deadline'
  /** Milliseconds without a byte from the endpoint after which the attempt is abandoned. */
  probe: number
  /** Monotonic ms after which the permit must not be used. */
  validUntil: number
  signal: AbortSignal
}

/** How an endpoint marks the end of an answer's body. */
export type Framing = 'delimited' | 'until-close'

/** Head of an endpoint's answer. */
export interface AnswerHead {
  status: number
  message: string
  headers: HeaderList
  framing: Framing
}

/** Receives an answer as it arrives. */
export interface AnswerSink {
  /** Called when the first byte of the request is about to be sent. */
  sending: () => void
  /** @param resume - resumes the answer after `data` has returned `false` */
  head: (head: AnswerHead, resume: () => void) => void
  /** @returns `false` to pause the answer until `resume` is called */
  data: (chunk: Buffer) => boolean
  end: (trailers: HeaderList) => void
}

/** How one attempt ended. */
export interface RunEnd {
  step: RunStep
  /** `null` when the complete answer arrived. */
  fault: RunFault | null
  /** Description of the failure for the log; empty when there was none. */
  detail: string
  /** Milliseconds from the first byte sent to the end. */
  serviceTime: number
}

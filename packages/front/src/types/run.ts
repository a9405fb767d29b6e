import type { Readable } from 'node:stream'
import type { Address } from '@rattanstep/core'

/** Header fields in the order of the wire, names as they were sent. */
export type HeaderList = Array<[string, string]>

/**
 * How far one attempt to run a request came.
 * - `dispatching`: no byte can have reached the endpoint
 * - `sending`: bytes may have left, no answer yet
 * - `answering`: the head of the answer arrived
 * - `ended`: the whole answer arrived
 */
export type RunStep = 'dispatching' | 'sending' | 'answering' | 'ended'

/** Why one attempt did not end with a whole answer. */
export type RunFault =
  | 'refused'        // no connection could be opened
  | 'no-connection'  // the share of connections to the worker is in use
  | 'stale-permit'   // the permit is too old to be used
  | 'unsendable'     // the request cannot be written as HTTP/1.1
  | 'reset'          // the connection ended before the whole answer
  | 'garbage'        // the endpoint's bytes are no answer
  | 'silent'         // no byte for the probe time
  | 'bound'          // the class's bound passed
  | 'deadline'       // the caller's own deadline passed
  | 'body'           // the caller's body broke off, was too large or too slow
  | 'caller-gone'    // the caller closed its connection
  | 'caller-slow'    // the caller stopped reading the answer

/** One attempt to run a request on one worker. */
export interface Run {
  worker: string
  address: Address
  method: string
  path: string
  /** Names and values in turn. */
  headers: string[]
  body: Buffer | Readable | null
  /** Whether a connection must have proved itself a moment ago. */
  fresh: boolean
  /** Milliseconds that the run may take. */
  bound: number
  /** What sets the bound. */
  boundBy: 'bound' | 'deadline'
  /** Milliseconds without a byte from the endpoint after which the connection is abandoned. */
  probe: number
  /** Monotonic ms after which the permit may not be used. */
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

/** Takes an answer as it arrives. */
export interface AnswerSink {
  /** The first byte of the request is about to leave. */
  sending: () => void
  /** @param resume - continues after `data` returned `false` */
  head: (head: AnswerHead, resume: () => void) => void
  /** @returns `false` when no more is wanted until `resume` */
  data: (chunk: Buffer) => boolean
  end: (trailers: HeaderList) => void
}

/** How one attempt ended. */
export interface RunEnd {
  step: RunStep
  /** `null` when the whole answer arrived. */
  fault: RunFault | null
  /** What was seen, for the log. */
  detail: string
  /** Milliseconds from the first byte sent to the end. */
  serviceTime: number
}

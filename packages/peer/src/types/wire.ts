import type { Incarnation } from '@rattanstep/core'

/** Fields of one message as decoded by the gRPC library. */
export type Fields = Record<string, unknown>

/** One message as decoded by the gRPC library: `body` names the field that is set. */
export interface Envelope extends Fields {
  body?: string
}

/** Frame sent by the connecting node. */
export interface Frame {
  proof: { from: Incarnation, digest: Buffer } | null
  messages: Envelope[]
}

/** Reply of the listening node. */
export interface Reply {
  challenge: { self: Incarnation, nonce: Buffer, digest: Buffer } | null
  received: number
}

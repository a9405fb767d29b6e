import type { Incarnation } from '@rattanstep/core'

/** Fields of one message as the codec gives them. */
export type Fields = Record<string, unknown>

/** One message as the codec gives it: `body` names the field that is set. */
export interface Envelope extends Fields {
  body?: string
}

/** What a calling node sends. */
export interface Frame {
  proof: { from: Incarnation, digest: Buffer } | null
  messages: Envelope[]
}

/** What the called node answers. */
export interface Reply {
  challenge: { self: Incarnation, nonce: Buffer, digest: Buffer } | null
  received: number
}

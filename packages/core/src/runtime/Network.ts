import type { Incarnation } from '../types/assignment.js'
import type { Address } from '../types/instance.js'
import type { Message } from '../types/message.js'

/** Called with each message that arrives. */
export type Receiver = (from: Incarnation, message: Message) => void

/**
 * Messages between nodes. Messages may be lost, repeated, late or out of order; the sender is never told.
 */
export abstract class Network {
  /**
   * Makes a node reachable by its incarnation.
   *
   * @param incarnation - the node
   * @param address - where it listens
   */
  abstract addPeer (incarnation: Incarnation, address: Address): void

  /**
   * Forgets a node that is gone. A network that keeps nothing for a node need not do anything.
   *
   * @param _incarnation - the node
   */
  removePeer (_incarnation: Incarnation): void {}

  /**
   * Sends without waiting. A message to an unknown incarnation is dropped; one to itself is delivered.
   *
   * @param to - the receiver
   * @param message - what to say
   */
  abstract send (to: Incarnation, message: Message): void

  /**
   * Sets who is called for messages to this node.
   *
   * @param receiver - the callback
   */
  abstract receive (receiver: Receiver): void
}

import type { Incarnation } from '../types/assignment.js'
import type { Address } from '../types/instance.js'
import type { Message } from '../types/message.js'

/** Callback for each message that arrives. */
export type Receiver = (from: Incarnation, message: Message) => void

/**
 * Messages between nodes. Messages may be lost, duplicated, delayed or reordered, and the sender is not notified.
 */
export abstract class Network {
  /**
   * Makes a node reachable by its incarnation.
   *
   * @param incarnation - incarnation of the node
   * @param address - address that it listens on
   */
  abstract addPeer (incarnation: Incarnation, address: Address): void

  /**
   * Releases what is kept for a node that has left. A network that keeps nothing for a node need not override this.
   *
   * @param _incarnation - incarnation of the node
   */
  removePeer (_incarnation: Incarnation): void {}

  /**
   * Sends a message without waiting. A message to an unknown incarnation is dropped; one to the sender itself is delivered.
   *
   * @param to - incarnation of the receiver
   * @param message - the message
   */
  abstract send (to: Incarnation, message: Message): void

  /**
   * Sets the callback for messages to this node.
   *
   * @param receiver - the callback
   */
  abstract setReceiver (receiver: Receiver): void
}

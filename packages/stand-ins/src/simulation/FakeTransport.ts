import type { Incarnation, Message, Random, Receiver } from '@rattanstep/core'
import type { NodeClock } from './NodeClock.js'
import type { Simulation } from './Simulation.js'

/** How a message is delivered. */
export interface Delivery {
  /** Number of copies that arrive; 0 loses the message. */
  copies: number
  /** Milliseconds added to the delay of each copy. */
  extraDelay: number
}

interface SimulatedProcess {
  clock: NodeClock
  address: string
  receiver: Receiver | null
}

const NORMAL_DELIVERY: Delivery = { copies: 1, extraDelay: 0 }

/**
 * Delivers the messages between the nodes of a simulated cell, with fault injection. Each copy has its own random delay, so
 * messages may arrive out of order.
 */
export class FakeTransport {
  readonly processes = new Map<Incarnation, SimulatedProcess>()
  /** Broken links as `from>to`, with the identifiers of two nodes; the opposite direction is a separate link. */
  readonly cutLinks = new Set<string>()
  /** Maximum delay of a message in ms, without extra delay. */
  maxDelay = 2
  /** Fraction of messages that are lost, from 0 to 1. */
  lossRate = 0
  /** Number of messages sent. */
  messageCount = 0
  /** Called for each message when it is sent; returns how to deliver it. */
  intercept: (from: Incarnation, to: Incarnation, message: Message) => Delivery = () => NORMAL_DELIVERY

  /** @param options - `simulation`: event loop; `random`: source of delays and losses */
  constructor (private readonly options: { simulation: Simulation, random: Random }) {}

  /**
   * Sends a message. It is dropped when the link is broken at the time of arrival.
   *
   * @param from - sender
   * @param to - receiver
   * @param message - the message
   */
  send (from: Incarnation, to: Incarnation, message: Message): void {
    this.messageCount++
    const { copies, extraDelay } = this.intercept(from, to, message)
    const { random } = this.options
    if (random.next() < this.lossRate) return
    for (let copy = 0; copy < copies; copy++) this.deliver(from, to, message, random.next() * this.maxDelay + extraDelay)
  }

  private deliver (from: Incarnation, to: Incarnation, message: Message, delay: number): void {
    this.options.simulation.schedule(delay, () => {
      const sendingProcess = this.processes.get(from)
      const receivingProcess = this.processes.get(to)
      if (receivingProcess === undefined || sendingProcess === undefined) return
      if (this.cutLinks.has(`${sendingProcess.address}>${receivingProcess.address}`)) return
      receivingProcess.clock.run(() => { receivingProcess.receiver?.(from, message) })
    })
  }
}

import type { Incarnation, Message, Random, Receiver } from '@rattanstep/core'
import type { NodeClock } from './NodeClock.js'
import type { Simulation } from './Simulation.js'

/** How one message is carried. */
export interface Delivery {
  /** How often it arrives; 0 loses it. */
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

/** Carries the messages of all nodes of a simulated cell, with faults. */
export class FakeTransport {
  readonly processes = new Map<Incarnation, SimulatedProcess>()
  /** Directed pairs of node identifiers that are cut, as `from>to`. */
  readonly cutLinks = new Set<string>()
  /** Most ms that a message takes in ordinary times. */
  maxDelay = 2
  /** Share of messages lost, from 0 to 1. */
  lossRate = 0
  messageCount = 0
  /** Sees each message as it is sent and decides how it is carried. */
  intercept: (from: Incarnation, to: Incarnation, message: Message) => Delivery = () => NORMAL_DELIVERY

  /** @param options - event loop and source of randomness */
  constructor (private readonly options: { simulation: Simulation, random: Random }) {}

  /**
   * @param from - sender
   * @param to - receiver
   * @param message - what is said
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
      const sender = this.processes.get(from)
      const receiving = this.processes.get(to)
      if (receiving === undefined || sender === undefined) return
      if (this.cutLinks.has(`${sender.address}>${receiving.address}`)) return
      receiving.clock.run(() => { receiving.receiver?.(from, message) })
    })
  }
}

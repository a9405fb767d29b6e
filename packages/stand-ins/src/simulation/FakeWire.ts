import type { Incarnation, Message, Random, Receiver } from '@rattanstep/core'
import type { NodeClock } from './NodeClock.js'
import type { Simulation } from './Simulation.js'

/** How one message is carried. */
export interface Carriage {
  /** How often it arrives; 0 loses it. */
  copies: number
  /** Milliseconds added to the delay of each copy. */
  extraDelay: number
}

interface Station {
  clock: NodeClock
  address: string
  receiver: Receiver | null
}

const ORDINARY: Carriage = { copies: 1, extraDelay: 0 }

/** Carries the messages of all nodes of a simulated cell, with faults. */
export class FakeWire {
  readonly stations = new Map<Incarnation, Station>()
  /** Directed pairs of node identifiers that are cut, as `from>to`. */
  readonly cuts = new Set<string>()
  /** Most ms that a message takes in ordinary times. */
  delay = 2
  /** Share of messages lost, from 0 to 1. */
  loss = 0
  messages = 0
  /** Sees each message as it is sent and decides how it is carried. */
  intercept: (from: Incarnation, to: Incarnation, message: Message) => Carriage = () => ORDINARY

  /** @param options - event loop and source of randomness */
  constructor (private readonly options: { simulation: Simulation, random: Random }) {}

  /**
   * @param from - sender
   * @param to - receiver
   * @param message - what is said
   */
  send (from: Incarnation, to: Incarnation, message: Message): void {
    this.messages++
    const { copies, extraDelay } = this.intercept(from, to, message)
    const { random } = this.options
    if (random.next() < this.loss) return
    for (let copy = 0; copy < copies; copy++) this.carry(from, to, message, random.next() * this.delay + extraDelay)
  }

  private carry (from: Incarnation, to: Incarnation, message: Message, delay: number): void {
    this.options.simulation.schedule(delay, () => {
      const sender = this.stations.get(from)
      const station = this.stations.get(to)
      if (station === undefined || sender === undefined) return
      if (this.cuts.has(`${sender.address}>${station.address}`)) return
      station.clock.run(() => { station.receiver?.(from, message) })
    })
  }
}

import { SeededRandom } from '@rattanstep/core'
import type { Timing } from '../../src/index.js'
import { Cell, entry } from './Cell.js'

/** Result of one seeded case. */
export interface StormResult {
  violations: string[]
  /** Ms after the end of the faults until all was served; `Infinity` when it was not. */
  recovery: number
  takeovers: number
  versions: number
  faults: Record<string, number>
  /** Changes of the assignment by kind. */
  changes: Record<string, number>
  events: number
}

/** Most ms between two faults, and for how long there are faults. */
const FAULT_PAUSE = 2000
const FAULT_TIME = 30_000

/** Ms after the end of the faults within which everything must be served. */
export const RECOVERY_BOUND = 30_000

/** Most by which a clock's rate differs in these cases; the default margin stands for 0.025. */
const DRIFT = 0.024

/** Most ms by which the platform's list lags. */
const LIST_LAG = 6000

const ORDINARY: Partial<Timing> = { balance: 2000, dropDelay: 1000, listLag: LIST_LAG }

/** Leaves little time between the end of a lease and the takeover, so that a lease that is too long shows. */
const TIGHT: Partial<Timing> = { ...ORDINARY, heartbeat: 300, poll: 20, stagger: 1 }

/** One cell under random faults that are drawn from a seed. */
export class Storm {
  readonly cell: Cell
  private readonly random: SeededRandom
  private readonly faults: Record<string, number> = {}
  private nextInstance: number
  private readonly all: string[]

  constructor (seed: number, keepsLog = false) {
    this.random = new SeededRandom(seed)
    const nodes = 1 + this.random.integer(5)
    this.nextInstance = nodes
    const timing = this.random.next() < 0.4 ? TIGHT : ORDINARY
    this.cell = new Cell({ seed: seed + 1_000_000, nodes, drift: DRIFT, listLag: LIST_LAG, keepsLog, timing })
    this.all = [...this.cell.resources]
  }

  async run (): Promise<StormResult> {
    const { cell, random } = this
    if (random.next() < 0.8) await cell.run(5000)
    const end = cell.simulation.time + FAULT_TIME
    while (cell.simulation.time < end) {
      this.strike()
      await cell.run(random.next() * FAULT_PAUSE)
    }
    this.heal()
    const recovery = await cell.until(() => cell.isServed(), RECOVERY_BOUND, 100)
    await cell.run(10_000)
    const versions = Math.max(...[...cell.processes.values()].map(process => process.ownership.assignment.version))
    return {
      violations: cell.violations,
      recovery,
      takeovers: cell.handOvers,
      versions,
      faults: this.faults,
      changes: cell.log.changes,
      events: cell.simulation.eventCount
    }
  }

  private strike (): void {
    const faults: Array<[string, () => void]> = [
      ['cut', () => { this.cut() }],
      ['mend', () => { this.cell.wire.cuts.clear() }],
      ['loss', () => { this.cell.wire.loss = this.chance(0.5) * 0.6 }],
      ['duplicates', () => { this.cell.wire.duplicates = this.chance(0.5) * 0.5 }],
      ['late', () => { this.cell.wire.lateShare = this.chance(0.6) * 0.5 }],
      ['slow network', () => { this.cell.wire.delay = this.random.next() < 0.6 ? 2500 : 2 }],
      ['table down', () => { this.cell.store.down = this.random.next() < 0.5 }],
      ['table slow', () => { this.cell.store.slow = this.random.next() < 0.5 ? 2 : 3000 }],
      ['answers lost', () => { this.cell.store.loseAnswers = this.chance(0.6) }],
      ['late writes', () => { this.cell.store.lateWrites = this.chance(0.6) }],
      ['pause', () => { this.pause() }],
      ['pause', () => { this.pause() }],
      ['kill', () => { this.kill() }],
      ['kill', () => { this.kill() }],
      ['drain', () => { this.drain() }],
      ['release', () => { this.release() }],
      ['workers change', () => { this.cell.resources = this.all.filter(() => this.random.next() < 0.7) }],
      ['new node', () => { this.add() }],
      ['list unknown', () => { this.hideList() }]
    ]
    const [name, strike] = this.random.pick(faults)
    this.faults[name] = (this.faults[name] ?? 0) + 1
    strike()
  }

  private chance (share: number): number {
    return this.random.next() < share ? this.random.next() : 0
  }

  private cut (): void {
    const ids = [...this.cell.processes.keys()]
    for (const from of ids) {
      for (const to of ids) {
        if (from !== to && this.random.next() < 0.4) this.cell.wire.cuts.add(`${from}>${to}`)
      }
    }
  }

  private pause (): void {
    const running = [...this.cell.processes.values()].filter(process => !process.clock.isPaused)
    if (running.length === 0) return
    const { clock } = this.random.pick(running)
    clock.isPaused = true
    this.cell.simulation.schedule(this.random.next() * 9000, () => { clock.resume() })
  }

  private kill (): void {
    const ids = [...this.cell.processes.keys()]
    if (ids.length === 0) return
    const id = this.random.pick(ids)
    this.cell.kill(id)
    this.replace(id)
  }

  /** The instance runs a new process, or leaves the list some time later and another instance comes. */
  private replace (id: string): void {
    const restarts = this.random.next() < 0.6
    this.cell.simulation.schedule(this.random.next() * 6000, () => {
      if (restarts) this.cell.start(id)
      else this.leave(id)
    })
  }

  private leave (id: string): void {
    this.list = this.list.filter(instance => instance.id !== id)
    this.add()
  }

  private add (): void {
    if (this.cell.processes.size >= 6) return
    const id = `n${this.nextInstance++}`
    this.list = [...this.list, entry(id)]
    this.cell.start(id)
  }

  private hidden: Cell['instances'] = null

  private get list (): NonNullable<Cell['instances']> {
    return this.cell.instances ?? this.hidden ?? []
  }

  private set list (list: NonNullable<Cell['instances']>) {
    if (this.cell.instances === null) this.hidden = list
    else this.cell.instances = list
  }

  private hideList (): void {
    if (this.cell.instances === null) return
    this.hidden = this.cell.instances
    this.cell.instances = null
    this.cell.simulation.schedule(this.random.next() * 5000, () => { this.showList() })
  }

  private showList (): void {
    if (this.cell.instances !== null) return
    this.cell.instances = this.hidden
  }

  private drain (): void {
    const processes = [...this.cell.processes.values()]
    if (processes.length === 0) return
    const process = this.random.pick(processes)
    const end = (): void => {
      if (this.cell.processes.get(process.id) !== process) return
      this.cell.kill(process.id)
      this.replace(process.id)
    }
    process.ownership.drain().then(end, end)
    this.cell.simulation.schedule(8000, end)
  }

  private release (): void {
    const processes = [...this.cell.processes.values()]
    if (processes.length === 0) return
    const { ownership } = this.random.pick(processes)
    ownership.release(this.all.filter(() => this.random.next() < 0.5)).catch(() => {})
  }

  private heal (): void {
    const { cell } = this
    Object.assign(cell.wire, { delay: 2, loss: 0, duplicates: 0, lateShare: 0 })
    cell.wire.cuts.clear()
    Object.assign(cell.store, { down: false, slow: 2, loseAnswers: 0, lateWrites: 0 })
    cell.resources = this.all
    for (const { clock } of cell.processes.values()) clock.resume()
    this.showList()
  }
}

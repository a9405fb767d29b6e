import { SeededRandom } from '@rattanstep/core'
import type { Timing } from '../../src/index.js'
import { Cell, entry } from './Cell.js'

/** Result of one seeded case. */
export interface RandomFaultsResult {
  violations: string[]
  /** ms after the end of the faults until every resource was served; `Infinity` when that did not happen in time. */
  recovery: number
  takeovers: number
  versions: number
  faults: Record<string, number>
  /** Changes of the assignment by kind. */
  changes: Record<string, number>
  events: number
}

/** Maximum time between two faults. */
const MAX_FAULT_INTERVAL_MS = 2000
/** How long faults are injected. */
const FAULT_PERIOD_MS = 30_000

/** Time after the end of the faults within which every resource must be served. */
export const RECOVERY_LIMIT_MS = 30_000

/** Difference of the clock rates from true time, as a fraction; the default margin allows for 0.025. */
const CLOCK_DRIFT = 0.024

/** Maximum lag of the platform's list. */
const MAX_LIST_LAG_MS = 6000

const ORDINARY_TIMING: Partial<Timing> = { rebalanceInterval: 2000, dropDelay: 1000, maxListLag: MAX_LIST_LAG_MS }

/** Leaves little time between the end of a lease and the takeover, so that a lease that lasts too long is detected. */
const TIGHT_TIMING: Partial<Timing> = { ...ORDINARY_TIMING, heartbeat: 300, pollInterval: 20, stagger: 1 }

/** Runs one cell under random faults that a seed determines. */
export class RandomFaults {
  readonly cell: Cell
  private readonly random: SeededRandom
  private readonly faults: Record<string, number> = {}
  private nextInstance: number
  private readonly allResources: string[]

  constructor (seed: number, keepsLog = false) {
    this.random = new SeededRandom(seed)
    const nodes = 1 + this.random.integer(5)
    this.nextInstance = nodes
    const timing = this.random.next() < 0.4 ? TIGHT_TIMING : ORDINARY_TIMING
    this.cell = new Cell({ seed: seed + 1_000_000, nodes, drift: CLOCK_DRIFT, listLag: MAX_LIST_LAG_MS, keepsLog, timing })
    this.allResources = [...this.cell.resources]
  }

  async run (): Promise<RandomFaultsResult> {
    const { cell, random } = this
    if (random.next() < 0.8) await cell.run(5000)
    const end = cell.simulation.time + FAULT_PERIOD_MS
    while (cell.simulation.time < end) {
      this.injectFault()
      await cell.run(random.next() * MAX_FAULT_INTERVAL_MS)
    }
    this.clearFaults()
    const recovery = await cell.until(() => cell.isServed(), RECOVERY_LIMIT_MS, 100)
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

  private injectFault (): void {
    const faults: Array<[string, () => void]> = [
      ['cut', () => { this.cut() }],
      ['mend', () => { this.cell.wire.cuts.clear() }],
      ['loss', () => { this.cell.wire.lossProbability = this.randomShare(0.5) * 0.6 }],
      ['duplicates', () => { this.cell.wire.duplicateProbability = this.randomShare(0.5) * 0.5 }],
      ['late', () => { this.cell.wire.lateProbability = this.randomShare(0.6) * 0.5 }],
      ['slow network', () => { this.cell.wire.maxDelay = this.random.next() < 0.6 ? 2500 : 2 }],
      ['table down', () => { this.cell.store.down = this.random.next() < 0.5 }],
      ['table slow', () => { this.cell.store.maxDelay = this.random.next() < 0.5 ? 2 : 3000 }],
      ['answers lost', () => { this.cell.store.answerLossProbability = this.randomShare(0.6) }],
      ['late writes', () => { this.cell.store.lateWriteProbability = this.randomShare(0.6) }],
      ['pause', () => { this.pause() }],
      ['pause', () => { this.pause() }],
      ['kill', () => { this.kill() }],
      ['kill', () => { this.kill() }],
      ['drain', () => { this.drain() }],
      ['release', () => { this.release() }],
      ['workers change', () => { this.cell.resources = this.allResources.filter(() => this.random.next() < 0.7) }],
      ['new node', () => { this.add() }],
      ['list unknown', () => { this.hideList() }]
    ]
    const [name, inject] = this.random.pick(faults)
    this.faults[name] = (this.faults[name] ?? 0) + 1
    inject()
  }

  private randomShare (share: number): number {
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

  /** After a random time, starts a new process on the instance, or removes the instance from the list and adds another one. */
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

  /** The list to restore, while the platform's list is unknown to the nodes. */
  private hiddenList: Cell['instances'] = null

  private get list (): NonNullable<Cell['instances']> {
    return this.cell.instances ?? this.hiddenList ?? []
  }

  private set list (list: NonNullable<Cell['instances']>) {
    if (this.cell.instances === null) this.hiddenList = list
    else this.cell.instances = list
  }

  private hideList (): void {
    if (this.cell.instances === null) return
    this.hiddenList = this.cell.instances
    this.cell.instances = null
    this.cell.simulation.schedule(this.random.next() * 5000, () => { this.showList() })
  }

  private showList (): void {
    if (this.cell.instances !== null) return
    this.cell.instances = this.hiddenList
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
    ownership.release(this.allResources.filter(() => this.random.next() < 0.5)).catch(() => {})
  }

  private clearFaults (): void {
    const { cell } = this
    Object.assign(cell.wire, { maxDelay: 2, lossProbability: 0, duplicateProbability: 0, lateProbability: 0 })
    cell.wire.cuts.clear()
    Object.assign(cell.store, { down: false, maxDelay: 2, answerLossProbability: 0, lateWriteProbability: 0 })
    cell.resources = this.allResources
    for (const { clock } of cell.processes.values()) clock.resume()
    this.showList()
  }
}

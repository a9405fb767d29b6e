import { EMPTY_ASSIGNMENT, SeededRandom } from '@rattanstep/core'
import type { Assignment, Instance, Load, ResourceKey } from '@rattanstep/core'
import { Ownership } from '../../src/index.js'
import type { Timing } from '../../src/index.js'
import { parseAssignmentText } from '../../src/utils/parseAssignmentText.js'
import { CountingLog } from './CountingLog.js'
import { FakeNetwork, FakeWire } from './FakeNetwork.js'
import { FakeStore, FakeTable } from './FakeTable.js'
import { NodeClock, Simulation } from '@rattanstep/stand-ins'

/** One process of a node. */
export interface Process {
  id: string
  incarnation: string
  clock: NodeClock
  ownership: Ownership
}

/** How a cell is set up. */
export interface CellOptions {
  seed?: number
  nodes?: number
  resources?: ResourceKey[]
  /** Most by which the rate of a clock differs from true time. */
  drift?: number
  /** Most ms by which the list lags; each process sees it with a lag of its own. */
  listLag?: number
  timing?: Partial<Timing>
  keepsLog?: boolean
  load?: Load
}

/**
 * Several nodes with a fake network, table and list, and the invariant, checked after each event: a node that
 * may admit for a resource is its owner in the table. It is stronger than that no two nodes may at once.
 */
export class Cell {
  readonly simulation = new Simulation()
  readonly random: SeededRandom
  readonly wire: FakeWire
  readonly store = new FakeStore()
  readonly processes = new Map<string, Process>()
  readonly log: CountingLog
  readonly violations: string[] = []
  resources: ResourceKey[]
  private readonly load: Load | null
  private readonly listLag: number
  private readonly lists: Array<{ at: number, list: Instance[] | null }> = []
  private readonly drift: number
  private readonly timing: Partial<Timing>
  private lives = 0
  /** The last row that could be read; a test may put a damaged one in its place. */
  private row: Assignment = EMPTY_ASSIGNMENT
  private seen = ''

  constructor (options: CellOptions = {}) {
    const { seed = 1, nodes = 3 } = options
    this.random = new SeededRandom(seed)
    this.wire = new FakeWire(this.simulation, this.random)
    this.resources = options.resources ?? ['worker/a', 'worker/b', 'worker/c', 'shard/0']
    this.load = options.load ?? null
    this.listLag = options.listLag ?? 0
    this.drift = options.drift ?? 0
    this.timing = options.timing ?? {}
    this.log = new CountingLog(options.keepsLog === true)
    const instances = Array.from({ length: nodes }, (_, index) => entry(`n${index}`))
    this.instances = instances
    for (const { id } of instances) this.start(id)
  }

  /** Starts a process on an instance. */
  start (id: string): Process {
    const incarnation = `${id}@${++this.lives}`
    const rate = 1 + this.drift * this.random.pick([-1, 1])
    const clock = new NodeClock({ simulation: this.simulation, rate, offset: this.random.next() * 1e6 })
    const lag = this.random.next() * this.listLag
    const network = new FakeNetwork(this.wire, incarnation, clock)
    const ownership = new Ownership({
      self: { incarnation, dataCentre: dataCentreOf(id), peer: { host: '127.0.0.1', port: 1 }, draining: false },
      network,
      table: new FakeTable(this.store, this.simulation, clock, this.random),
      clock,
      random: this.random,
      log: this.log,
      instances: () => this.listSeen(lag),
      resources: () => this.resources,
      load: () => this.load,
      rules: () => 1,
      timing: this.timing
    })
    network.setReceiver((from, message) => { ownership.receive(from, message) })
    const process = { id, incarnation, clock, ownership }
    this.processes.set(id, process)
    ownership.start().catch(error => { this.violations.push(String(error)) })
    return process
  }

  /** Adds an instance to the list and starts a process on it. */
  add (id: string): void {
    this.instances = [...this.instances ?? [], entry(id)]
    this.start(id)
  }

  /** @returns how many lines of a kind were written */
  logged (name: string): number {
    return this.log.lines.filter(line => line.event.name === name).length
  }

  /** Ends a process without a word. */
  kill (id: string): void {
    const process = this.processes.get(id)
    if (process === undefined) return
    process.clock.isDead = true
    this.processes.delete(id)
  }

  /** The platform's list as it is now. */
  get instances (): Instance[] | null {
    return this.lists.at(-1)?.list ?? null
  }

  set instances (list: Instance[] | null) {
    this.lists.push({ at: this.simulation.time, list })
  }

  private listSeen (lag: number): Instance[] | null {
    const time = this.simulation.time - lag
    return (this.lists.findLast(entry => entry.at <= time) ?? this.lists[0]!).list
  }

  node (id: string): Process {
    return this.processes.get(id)!
  }

  async run (duration: number): Promise<void> {
    await this.simulation.run(duration, () => { this.check() })
  }

  /** @returns ms until the condition holds, or `Infinity` when it does not within the limit */
  async until (condition: () => boolean, limit: number, step = 10): Promise<number> {
    const start = this.simulation.time
    while (!condition()) {
      if (this.simulation.time - start >= limit) return Infinity
      await this.run(step)
    }
    return this.simulation.time - start
  }

  admitters (resource: ResourceKey): string[] {
    return [...this.processes.values()].filter(process => process.ownership.mayAdmit(resource)).map(process => process.id)
  }

  /** How often resources came from one owner to another. */
  get handOvers (): number {
    return this.store.handOvers
  }

  /** Whether each resource is admitted for by one node. */
  isServed (): boolean {
    return this.resources.every(resource => this.admitters(resource).length === 1)
  }

  private see (value: string): void {
    this.seen = value
    const parsed = parseAssignmentText(value)
    if (parsed.isOk()) this.row = parsed.value
  }

  /** No node may admit for what the table gives to another; nodes that follow the table's version agree with it. */
  private check (): void {
    const row = this.store.rows.get('assignment/main')
    if (row === undefined) return
    if (row.value !== this.seen) this.see(row.value)
    for (const { incarnation, ownership } of this.processes.values()) {
      if (ownership.assignment.version === this.row.version || ownership.leaseLeft() === 0) continue
      for (const resource of this.resources) {
        if (this.row.owners[resource] === incarnation || !ownership.mayAdmit(resource)) continue
        const { version } = ownership.assignment
        this.violations.push(`${this.simulation.time}: ${incarnation} admits for ${resource} at version ${version} of ${row.version}`)
      }
    }
  }
}

export function entry (id: string): Instance {
  return {
    id,
    role: 'entry',
    state: 'live',
    dataCentre: dataCentreOf(id),
    rack: 'r',
    address: { host: '127.0.0.1', port: 1 },
    resources: { slots: 0, cores: 0, memory: 0, accelerators: 0 },
    connections: 0
  }
}

function dataCentreOf (id: string): string {
  return `dc${Number(id.slice(1)) % 4}`
}

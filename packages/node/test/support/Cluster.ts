import { SeededRandom } from '@rattanstep/core'
import type { Instance } from '@rattanstep/core'
import { FakeTransport, MemoryInstanceList, MemoryObjectStore, MemoryTable, NodeClock, Simulation } from '@rattanstep/stand-ins'
import { Endpoints } from './Endpoints.js'
import { Process } from './Process.js'
import type { Environment } from './Process.js'
import type { RequestPlan } from './CallerRequest.js'
import { InvariantChecker } from './InvariantChecker.js'

/** Rules of the simulated cell. */
export const RULES = `classes:
  - { name: urgent, kind: request, priority: 90, reserve: 20%, patience: 3s, bound: 5s } # matrix
  - { name: usual, kind: request, priority: 50, patience: 3s, bound: 5s } # matrix
  - { name: renders, kind: batch, priority: 20, patience: 1h, bound: 1m } # matrix
  - { name: chorus, kind: gang, priority: 30, patience: 1h, bound: 1m } # matrix
routes:
  - { path: /urgent/**, class: urgent } # matrix
  - { path: "/**", class: usual } # matrix
`

/** Delay after which a change appears in the platform's instance list. */
const LIST_LAG_MS = 500

/** A worker must get no new work once it has been listed as leaving for this long. */
const LEAVE_PROPAGATION_MS = 3000

/** Options of a simulated cell. */
export interface ClusterOptions {
  seed: number
  /** Number of nodes at the start (default 3). */
  nodes?: number
  /** Number of workers at the start (default 3). */
  workers?: number
  /** Maximum deviation of a node's clock rate from 1 (default 0). */
  drift?: number
  /** Rules text that applies while the table holds none (default `RULES`). */
  rules?: string
}

/** A simulated cell: node processes that run the real `Member` over simulated network, platform, workers and clocks. */
export class Cluster {
  readonly simulation = new Simulation()
  readonly random: SeededRandom
  readonly checker = new InvariantChecker(() => this.simulation.time)
  readonly processes: Process[] = []
  readonly environment: Environment
  readonly workers: Instance[] = []
  private readonly leavingSince = new Map<string, number>()
  private readonly incarnationNumbers = new Map<string, number>()
  private readonly drift: number
  private requestCount = 0
  /** Simulated time since which the platform's list answers. While it is down, nodes cannot notice that a worker leaves. */
  listAvailableSince = 0

  /** @param options - seed, number of nodes and workers, clock drift and rules */
  constructor (options: ClusterOptions) {
    const { simulation, checker } = this
    this.random = new SeededRandom(options.seed)
    this.drift = options.drift ?? 0
    const clock = new NodeClock({ simulation })
    const objects = new MemoryObjectStore({ clock })
    const endpoints = new Endpoints({ clock, objects, simulation, checker })
    const platform = {
      table: new MemoryTable({ clock }),
      objects,
      instances: new MemoryInstanceList({ clock, lag: LIST_LAG_MS }),
      workers: endpoints
    }
    this.environment = {
      simulation,
      wire: new FakeTransport({ simulation, random: this.random }),
      platform,
      endpoints,
      workers: new Map(),
      checker,
      random: this.random,
      rules: options.rules ?? RULES,
      onCall: () => {},
      onDispatch: (_process, worker) => { this.checkLeavingWorker(worker) }
    }
    for (let number = 1; number <= (options.workers ?? 3); number++) this.addWorker(`w${number}`)
    for (let number = 1; number <= (options.nodes ?? 3); number++) this.startNode(`n${number}`)
  }

  /** @returns running processes that accept requests from callers */
  openProcesses (): Process[] {
    return this.processes.filter(process => process.isUp && process.acceptsRequests)
  }

  /**
   * Starts a node. A previous process of the same node must have ended.
   *
   * @param id - name of the node
   * @returns the process
   */
  startNode (id: string): Process {
    const incarnationNumber = (this.incarnationNumbers.get(id) ?? 0) + 1
    this.incarnationNumbers.set(id, incarnationNumber)
    this.environment.platform.instances.add(makeInstance(id, 'entry', 0))
    const rate = 1 + (this.random.next() * 2 - 1) * this.drift
    const process = new Process({ id, incarnationNumber, rate, environment: this.environment })
    this.processes.push(process)
    return process
  }

  /**
   * Adds a worker to the cell.
   *
   * @param id - name of the worker
   */
  addWorker (id: string): void {
    const worker = makeInstance(id, 'worker', 2)
    this.workers.push(worker)
    this.environment.workers.set(id, worker)
    this.environment.platform.instances.add(worker)
  }

  /**
   * Marks a worker as leaving. The platform drops it from the list later.
   *
   * @param worker - the worker
   */
  leave (worker: Instance): void {
    this.environment.platform.instances.leave(worker.id)
    this.leavingSince.set(worker.id, this.simulation.time + LIST_LAG_MS)
  }

  /**
   * Sends a request to a random node that accepts requests. If there is none, the caller gets no connection.
   *
   * @param plan - the request
   */
  send (plan: RequestPlan): void {
    const openProcesses = this.openProcesses()
    if (openProcesses.length > 0) this.random.pick(openProcesses).accept(plan)
  }

  /** @returns an unused request number */
  nextRequest (): number {
    return this.requestCount++
  }

  /**
   * Runs the simulation.
   *
   * @param duration - simulated ms to run
   */
  async run (duration: number): Promise<void> {
    await this.simulation.run(duration)
  }

  /**
   * Runs the simulation until a condition holds.
   *
   * @param condition - condition to wait for
   * @param timeout - maximum simulated ms to run
   * @returns whether the condition holds at the end
   */
  async until (condition: () => boolean, timeout: number): Promise<boolean> {
    const end = this.simulation.time + timeout
    while (!condition() && this.simulation.time < end) await this.run(100)
    return condition()
  }

  /** @returns whether every live worker is owned by a running node that may admit work to it */
  isServed (): boolean {
    const live = this.workers.filter(worker => !this.leavingSince.has(worker.id))
    return live.every(worker => this.processes.some(process => process.isUp && !process.clock.isPaused && process.member.ownership.canAdmit(`worker/${worker.id}`)))
  }

  private checkLeavingWorker (worker: string): void {
    const since = this.leavingSince.get(worker)
    if (since === undefined || this.environment.platform.instances.faults.down) return
    if (this.simulation.time <= Math.max(since, this.listAvailableSince) + LEAVE_PROPAGATION_MS) return
    this.checker.recordViolation(`${worker} got new work ${Math.round(this.simulation.time - since)} ms after it was listed as leaving`)
  }
}

function makeInstance (id: string, role: 'worker' | 'entry', slots: number): Instance {
  return {
    id,
    role,
    state: 'live',
    dataCentre: 'north',
    rack: 'r1',
    address: { host: '127.0.0.1', port: 1 },
    resources: { slots, cores: slots, memory: slots * 64, accelerators: 0 },
    connections: 60
  }
}

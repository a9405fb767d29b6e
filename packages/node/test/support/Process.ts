import type { Instance, Random } from '@rattanstep/core'
import { MemoryLog, Metrics } from '@rattanstep/telemetry'
import { FakeNetwork, NodeClock } from '@rattanstep/stand-ins'
import type { FakeTransport, Simulation } from '@rattanstep/stand-ins'
import { Member } from '../../src/runtime/Member.js'
import { CallerRequest } from './CallerRequest.js'
import type { RequestPlan } from './CallerRequest.js'
import type { Endpoints } from './Endpoints.js'
import { createProcessPlatform } from './createProcessPlatform.js'
import type { CallListener, SharedPlatform } from './createProcessPlatform.js'
import type { InvariantChecker } from './InvariantChecker.js'

/** Simulated environment that the processes of a cell share. */
export interface Environment {
  simulation: Simulation
  wire: FakeTransport
  platform: SharedPlatform
  endpoints: Endpoints
  /** All workers that were ever added, by name. */
  workers: Map<string, Instance>
  checker: InvariantChecker
  random: Random
  rules: string
  /** Called before a process calls the platform or a worker. */
  onCall: (process: Process, call: string, worker: Instance | null) => void
  /** Called when a process dispatches a request to a worker. */
  onDispatch: (process: Process, worker: string) => void
}

/** Maximum time that a planned stop waits for the handover and the requests in flight. */
const DRAIN_TIMEOUT_MS = 20_000

/** Time in which the load balancer notices a planned stop. */
const DEREGISTRATION_DELAY_MS = 500

/** One simulated node process: a real `Member` whose permits and keys serve simulated requests. */
export class Process {
  readonly incarnation: string
  readonly clock: NodeClock
  readonly log = new MemoryLog()
  readonly member: Member
  readonly requests = new Set<CallerRequest>()
  /** Whether the process accepts new requests. */
  acceptsRequests = true
  leftGracefully = false

  /** @param options - node name, number of the incarnation, clock rate and shared environment */
  constructor (readonly options: { id: string, incarnationNumber: number, rate: number, environment: Environment }) {
    const { id, incarnationNumber, rate, environment } = options
    const { simulation, wire, platform, random, rules } = environment
    this.incarnation = `${id}@${incarnationNumber}`
    this.clock = new NodeClock({ simulation, rate, offset: random.integer(1_000_000) })
    const network = new FakeNetwork({ transport: wire, self: this.incarnation, clock: this.clock })
    const listener: CallListener = (call, worker) => { environment.onCall(this, call, worker) }
    this.member = new Member({
      incarnation: this.incarnation,
      cell: 'cell',
      dataCentre: 'north',
      peer: { host: '127.0.0.1', port: 1 },
      network,
      platform: createProcessPlatform(platform, this.clock, listener),
      clock: this.clock,
      random,
      log: this.log,
      metrics: new Metrics(),
      rules
    })
    this.member.start().catch(() => {})
  }

  /** @returns whether the process has neither ended nor been killed */
  get isUp (): boolean {
    return !this.clock.isDead
  }

  /**
   * Accepts and runs a request.
   *
   * @param plan - the request
   */
  accept (plan: RequestPlan): void {
    const request = new CallerRequest(this, plan)
    this.requests.add(request)
    request.run().catch((error: unknown) => { this.options.environment.checker.recordViolation(`a request failed with an unexpected error: ${String(error)}`) })
  }

  /** Ends the process immediately. Callers lose their connections. */
  kill (): void {
    if (this.clock.isDead) return
    this.clock.isDead = true
    for (const request of this.requests) request.disconnect()
    this.requests.clear()
  }

  /**
   * Suspends the process.
   *
   * @param duration - duration in simulated ms
   */
  pause (duration: number): void {
    if (this.clock.isPaused || this.clock.isDead) return
    this.clock.isPaused = true
    this.options.environment.simulation.schedule(duration, () => { this.clock.resume() })
  }

  /** Planned stop, with the same order of steps as in a real node. */
  async drain (): Promise<void> {
    const deadline = this.clock.now() + DRAIN_TIMEOUT_MS
    await Promise.race([this.member.handOver(), this.clock.sleep(DRAIN_TIMEOUT_MS)])
    await this.clock.sleep(DEREGISTRATION_DELAY_MS)
    this.acceptsRequests = false
    while (this.requests.size > 0 && this.clock.now() < deadline) await this.clock.sleep(20)
    if (this.requests.size > 0) this.options.environment.checker.recordViolation(`the planned stop of ${this.incarnation} interrupted ${this.requests.size} requests`)
    this.member.stop()
    this.leftGracefully = true
    this.options.environment.platform.instances.remove(this.options.id)
    this.kill()
  }
}

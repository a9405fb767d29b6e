import { fitsResources } from '@rattanstep/core'
import type { Instance, Result, WorkerError, WorkerReport } from '@rattanstep/core'
import { MemoryWorkers } from '@rattanstep/stand-ins'
import type { Simulation } from '@rattanstep/stand-ins'
import type { InvariantChecker } from './InvariantChecker.js'

/** One run of a caller's request on a worker. */
export interface EndpointRun {
  /** Identifies the caller's request across all attempts. */
  request: number
  /** Duration of the run in ms. */
  duration: number
  /** Called with the content of the answer, unless the answer is lost. */
  answer: (tag: string) => void
}

/** Simulated workers that run callers' requests in addition to tasks. */
export class Endpoints extends MemoryWorkers {
  /** Workers whose answers to requests are lost. */
  readonly mute = new Set<string>()
  private readonly runsByWorker = new Map<string, Set<EndpointRun>>()
  private readonly simulation: Simulation
  private readonly checker: InvariantChecker

  /** @param options - options of `MemoryWorkers`, simulation, and the checker to which runs are reported */
  constructor (options: ConstructorParameters<typeof MemoryWorkers>[0] & { simulation: Simulation, checker: InvariantChecker }) {
    super(options)
    this.simulation = options.simulation
    this.checker = options.checker
  }

  /**
   * Starts to run a request.
   *
   * @param worker - worker that runs the request
   * @param run - the run
   */
  serve (worker: Instance, run: EndpointRun): void {
    const runs = this.runsAt(worker)
    runs.add(run)
    this.checker.recordRun(run.request, worker.id)
    const used = this.host(worker).usedResources()
    const total = { ...used, slots: used.slots + runs.size }
    if (!fitsResources(total, worker.resources)) {
      this.checker.recordViolation(`${worker.id} runs ${total.slots} slots of work but has ${worker.resources.slots}`)
    }
    this.simulation.schedule(run.duration, () => {
      if (!runs.delete(run) || this.mute.has(worker.id)) return
      run.answer(`answer to ${run.request}`)
    })
  }

  override kill (worker: Instance): void {
    this.runsAt(worker).clear()
    super.kill(worker)
  }

  override async report (worker: Instance): Promise<Result<WorkerReport, WorkerError>> {
    const report = await super.report(worker)
    return report.map(figures => ({ ...figures, requests: this.runsAt(worker).size }))
  }

  private runsAt (worker: Instance): Set<EndpointRun> {
    const existing = this.runsByWorker.get(worker.id)
    if (existing !== undefined) return existing
    const runs = new Set<EndpointRun>()
    this.runsByWorker.set(worker.id, runs)
    this.host(worker).otherUsage = () => ({ slots: runs.size, cores: 0, memory: 0, accelerators: 0 })
    return runs
  }
}

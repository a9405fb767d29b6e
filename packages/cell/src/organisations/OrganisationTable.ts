import { CapBudget, takeToken, takeTurns } from '@rattanstep/policy'
import type { Sharer, TokenBucket } from '@rattanstep/policy'
import type { Organisation, OrganisationTerms } from '../types/configuration.js'
import type { Job, Size } from '../types/job.js'
import type { StepState, WorkerState } from '../runtime/model.js'
import type { RankedStep } from '../runtime/rankSteps.js'
import type { Registry } from '../runtime/Registry.js'

/** Share of a service's capacity in use above which its organisations take turns: below, a step that waits does so for tickets or for a gap of its size. */
const SHORT_RATIO = 0.85

/** Terms of the organisations whose jobs a decider knows. */
export class OrganisationTable {
  private readonly organisations = new Map<string, OrganisationTerms>()
  private readonly buckets = new Map<string, TokenBucket>()

  /** @param registry - knows what the organisations have running */
  constructor (private readonly registry: Pick<Registry, 'usageOf'>) {}

  /** Applies a version of the configuration. Jobs of a removed organisation continue under its last terms that this decider knows. */
  update (organisations: Organisation[]): void {
    for (const organisation of organisations) this.organisations.set(organisation.name, organisation)
  }

  /** @returns the terms of a job's organisation as configured, or else as stored with the job */
  termsOf ({ organisation, organisationTerms }: Job): OrganisationTerms | undefined {
    return organisation === undefined ? undefined : this.organisations.get(organisation) ?? organisationTerms
  }

  /**
   * Meters a job that becomes known. The rate is the organisation's weight at the submission, so that each decider gets the same result from the
   * same jobs.
   *
   * @param job - the job; jobs are passed in the order of their submission, as far as it is known
   * @param now - time on the store's clock in ms, or 0 if it is not known. A later time of the submission comes from a node whose clock is ahead; it
   *   would leave the organisation without tokens until that time.
   * @returns whether the job was submitted beyond the rate of its organisation
   */
  isBeyondRate ({ organisation, organisationTerms, acceptedAt }: Job, now: number): boolean {
    if (organisation === undefined || organisationTerms === undefined) return false
    const { bucket, isWithin } = takeToken(this.buckets.get(organisation), { rate: organisationTerms.weight, at: now === 0 ? acceptedAt : Math.min(acceptedAt, now) })
    this.buckets.set(organisation, bucket)
    return !isWithin
  }

  /**
   * Meters the jobs that a former decider has left, in order of their submission.
   *
   * @param jobs - open jobs, also those announced before the records were read, and ended ones, which took tokens too
   * @param now - time on the store's clock in ms
   * @returns the ids of the jobs beyond the rates. Jobs that ended so long ago that they are archived are missing, so that up to as many
   *   later ones count as within the rate although they were beyond it.
   */
  restoreRates (jobs: Job[], now: number): Set<string> {
    this.buckets.clear()
    const byId = new Map(jobs.filter(({ organisation }) => organisation !== undefined).map(job => [job.id, job]))
    const ordered = [...byId.values()].sort((a, b) => a.acceptedAt - b.acceptedAt)
    return new Set(ordered.filter(job => this.isBeyondRate(job, now)).map(({ id }) => id))
  }

  /**
   * @param workersOf - returns the workers of a service on which tasks may be placed
   * @returns function that orders steps of the same rank so that organisations take turns by their shares while the capacity of the service is
   *   short, or `undefined` if no organisations are configured. Jobs without an organisation share like one of weight 1.
   */
  startTurns (workersOf: (service: string) => WorkerState[]): ((steps: RankedStep[]) => RankedStep[]) | undefined {
    if (this.organisations.size === 0) return undefined
    const capacities = new Map<string, { total: Size, isShort: boolean }>()
    const sharers = new Map<string, Sharer>()
    const capacityOf = (service: string): { total: Size, isShort: boolean } => {
      let capacity = capacities.get(service)
      if (capacity === undefined) capacities.set(service, capacity = measureCapacity(workersOf(service)))
      return capacity
    }
    const sharerOf = ({ step, route }: RankedStep): Sharer => {
      const { job } = step.occurrence.job
      const key = `${route.service} ${job.organisation ?? ''}`
      let sharer = sharers.get(key)
      if (sharer === undefined) sharers.set(key, sharer = { weight: this.termsOf(job)?.weight ?? 1, share: dominantShare(this.registry.usageOf(job.organisation ?? ''), capacityOf(route.service).total) })
      return sharer
    }
    return steps => steps.some(({ route }) => capacityOf(route.service).isShort)
      ? takeTurns(steps, { sharerOf, costOf: ({ step, route }) => countWaiting(step) * dominantShare(step.definition.size, capacityOf(route.service).total) })
      : steps
  }

  /** @returns function that gives what is left of the cap of a job's organisation in one round of planning; `undefined` without a cap */
  startRound (): (job: Job) => CapBudget | undefined {
    const budgets = new Map<string, CapBudget>()
    return job => {
      const { organisation } = job
      if (organisation === undefined) return undefined
      const known = budgets.get(organisation)
      if (known !== undefined) return known
      const terms = this.termsOf(job)
      if (terms === undefined) return undefined
      const budget = new CapBudget(terms.cap, this.registry.usageOf(organisation))
      budgets.set(organisation, budget)
      return budget
    }
  }
}

function measureCapacity (workers: WorkerState[]): { total: Size, isShort: boolean } {
  const total = { cpu: 0, memory: 0, accelerators: 0 }
  const used = { cpu: 0, memory: 0, accelerators: 0 }
  for (const worker of workers) {
    addTo(total, worker.report.capacity)
    addTo(used, worker.used)
  }
  return { total, isShort: dominantShare(used, total) >= SHORT_RATIO }
}

function addTo (sum: Size, { cpu, memory, accelerators }: Size): void {
  sum.cpu += cpu
  sum.memory += memory
  sum.accelerators += accelerators
}

/** @returns the largest share that a size has of any resource of the capacity */
function dominantShare (size: Readonly<Size>, capacity: Size): number {
  const ratio = (part: number, whole: number): number => part === 0 || whole === 0 ? 0 : part / whole
  return Math.max(ratio(size.cpu, capacity.cpu), ratio(size.memory, capacity.memory), ratio(size.accelerators, capacity.accelerators))
}

function countWaiting ({ tasks }: StepState): number {
  let count = 0
  for (const { phase } of tasks) if (phase === 'waiting') count++
  return count
}

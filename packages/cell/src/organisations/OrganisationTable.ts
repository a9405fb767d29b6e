import { CapBudget, takeToken, takeTurns } from '@rattanstep/policy'
import type { Sharer, TokenBucket } from '@rattanstep/policy'
import type { Organisation, OrganisationTerms } from '../types/configuration.js'
import type { Job, Size } from '../types/job.js'
import type { WorkerState } from '../runtime/model.js'
import type { RankedStep } from '../runtime/rankSteps.js'
import type { Registry } from '../runtime/Registry.js'

/** Share of a service's capacity in use above which its organisations take turns: below, a step that waits does so for tickets or for a gap of its size. */
const SHORT_RATIO = 0.85

/**
 * Number of steps of one rank that are ordered by turns in a round. While capacity is short, a round places some tens of steps at most, and ordering
 * thousands would cost more than the rest of the round.
 */
const MAX_TURNS = 300

/** What an organisation has running and waiting. */
export interface OrganisationStatus {
  usage: Readonly<Size>
  /** Largest share that it uses of any resource of all workers. */
  share: number
  /** Number of jobs of which no task has started. */
  waiting: number
}

/** What meters a job by the rate of its organisation. */
export type MeteredJob = Pick<Job, 'id' | 'organisation' | 'organisationTerms' | 'acceptedAt'>

/** Terms of the organisations whose jobs a decider knows. */
export class OrganisationTable {
  private readonly organisations = new Map<string, OrganisationTerms>()
  private readonly buckets = new Map<string, TokenBucket>()

  /** @param registry - knows what the organisations have running */
  constructor (private readonly registry: Pick<Registry, 'usageOf' | 'countWaitingOf'>) {}

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
  isBeyondRate ({ organisation, organisationTerms, acceptedAt }: MeteredJob, now: number): boolean {
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
  restoreRates (jobs: Iterable<MeteredJob>, now: number): Set<string> {
    this.buckets.clear()
    const byId = new Map([...jobs].filter(({ organisation }) => organisation !== undefined).map(job => [job.id, job]))
    const ordered = [...byId.values()].sort((a, b) => a.acceptedAt - b.acceptedAt)
    return new Set(ordered.filter(job => this.isBeyondRate(job, now)).map(({ id }) => id))
  }

  /**
   * @param workersOf - returns the workers of a service on which tasks may be placed
   * @param now - monotonic ms
   * @returns function that orders steps of the same rank so that organisations take turns by their shares while the capacity of the service is
   *   short, or `undefined` if no organisations are configured. Jobs without an organisation share like one of weight 1.
   */
  startTurns (workersOf: (service: string) => WorkerState[], now: number): ((steps: RankedStep[]) => RankedStep[]) | undefined {
    if (this.organisations.size === 0) return undefined
    const services = new Map<string, ServiceShares>()
    const sharesOf = (service: string): ServiceShares => {
      let shares = services.get(service)
      if (shares === undefined) services.set(service, shares = { ...measureCapacity(workersOf(service)), sharers: new Map() })
      return shares
    }
    const sharerOf = ({ step, route }: RankedStep): Sharer => {
      const { job } = step.occurrence.job
      const { sharers, total } = sharesOf(route.service)
      const name = job.organisation ?? ''
      let sharer = sharers.get(name)
      if (sharer === undefined) sharers.set(name, sharer = { weight: this.termsOf(job)?.weight ?? 1, share: dominantShare(this.registry.usageOf(name), total) })
      return sharer
    }
    // The tasks of a step that run already count twice until the step is done; counting those that wait would cost more than the rest of the round.
    const costOf = ({ step, route }: RankedStep): number => (step.tasks.length - step.doneTasks) * dominantShare(step.definition.size, sharesOf(route.service).total)
    const isPressing = (step: RankedStep): boolean => step.lateness === 0 && isPastHalf(step, now)
    return steps => steps.some(({ route }) => sharesOf(route.service).isShort) ? takeTurns(steps, { sharerOf, costOf, isPressing, limit: MAX_TURNS }) : steps
  }

  /** @returns what an organisation has running on the workers and waiting */
  statusOf (name: string, workers: Iterable<WorkerState>): OrganisationStatus {
    const usage = this.registry.usageOf(name)
    return { usage, share: dominantShare(usage, measureCapacity(workers).total), waiting: this.registry.countWaitingOf(name) }
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

/** @returns whether half of the time in which the job should end is over */
function isPastHalf ({ step: { occurrence }, objectiveAt }: RankedStep, now: number): boolean {
  return 2 * now >= objectiveAt + Math.max(occurrence.dueAt, occurrence.job.submittedAt)
}

/** What one round of planning knows about the capacity of a service and the organisations that share it. */
interface ServiceShares {
  total: Size
  isShort: boolean
  sharers: Map<string, Sharer>
}

function measureCapacity (workers: Iterable<WorkerState>): { total: Size, isShort: boolean } {
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
  return Math.max(ratioOf(size.cpu, capacity.cpu), ratioOf(size.memory, capacity.memory), ratioOf(size.accelerators, capacity.accelerators))
}

function ratioOf (part: number, whole: number): number {
  return part === 0 || whole === 0 ? 0 : part / whole
}

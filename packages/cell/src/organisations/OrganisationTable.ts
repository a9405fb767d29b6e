import { CapBudget } from '@rattanstep/policy'
import type { Organisation, OrganisationTerms } from '../types/configuration.js'
import type { Job } from '../types/job.js'
import type { Registry } from '../runtime/Registry.js'

/** Terms of the organisations whose jobs a decider knows. */
export class OrganisationTable {
  private readonly organisations = new Map<string, OrganisationTerms>()

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

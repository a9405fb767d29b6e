import type { AdmissionService } from '@rattanstep/admission'
import type { Resources } from '@rattanstep/core'
import { WorkerCapacity } from '@rattanstep/jobs'

/** Reserves worker capacity for tasks in the ledger that admission also uses for requests. */
export class AdmissionCapacity extends WorkerCapacity {
  /** @param admission - service that keeps the ledger */
  constructor (private readonly admission: AdmissionService) {
    super()
  }

  override tryHold (worker: string, resources: Resources, workClass: string, team: string, id: string): boolean {
    return this.admission.hold({ worker, resources, class: workClass, team, id })
  }

  override occupy (worker: string, resources: Resources, workClass: string, team: string, id: string): void {
    this.admission.occupy({ worker, resources, class: workClass, team, id })
  }

  override tasksCounted (worker: string): void {
    this.admission.markTasksCounted(worker)
  }

  override release (id: string): void {
    this.admission.releaseHold(id)
  }

  override free (worker: string): Resources {
    return this.admission.free(worker)
  }
}

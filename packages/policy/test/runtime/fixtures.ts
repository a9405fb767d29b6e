import { SeededRandom } from '@rattanstep/core'
import type { Ask, Resources } from '@rattanstep/core'
import type { ResolvedClass } from '@rattanstep/rules'
import { Admission } from '../../src/index.js'
import type { AdmissionOptions, WorkerDescription } from '../../src/index.js'

export const ONE_SLOT: Resources = { slots: 1, cores: 1, memory: 1024, accelerators: 0 }

/** Creates the rule of a class of requests, with changes. */
export function createRule (name: string, changes: Partial<ResolvedClass> = {}): ResolvedClass {
  return {
    name,
    kind: 'request',
    priority: 50,
    reserve: 0,
    most: 1,
    patience: 60_000,
    bound: 10_000,
    weight: 1,
    ageing: 0,
    expected: 50,
    retries: 0.1,
    preempts: 'nothing',
    askedBy: '',
    line: 1,
    ...changes
  }
}

/** Creates the description of a worker with 8 slots, with changes. */
export function createWorker (id: string, changes: Partial<WorkerDescription> = {}): WorkerDescription {
  return {
    id,
    address: { host: '127.0.0.1', port: 1 },
    resources: { slots: 8, cores: 16, memory: 65_536, accelerators: 0 },
    connections: 60,
    dataCentre: 'dc-1',
    rack: 'rack-1',
    ...changes
  }
}

/** Creates an ask for one slot, with changes. */
export function createAsk (id: string, changes: Partial<Ask> = {}): Ask {
  return { id, class: 'quick', caller: 'c', team: '', resources: ONE_SLOT, patience: 60_000, waited: 0, avoid: [], ...changes }
}

/** Creates an admission without workers. */
export function createAdmission (classes: ResolvedClass[], changes: Partial<AdmissionOptions> = {}): Admission {
  return new Admission({ name: 'n1', classes, now: 0, random: new SeededRandom(1), ...changes })
}

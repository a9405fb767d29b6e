import { addResources, fitsResources, subtractResources } from '@rattanstep/core'
import type { Resources } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import type { PlacementRow } from '../types/rows.js'
import type { WorkerSupervisor } from './WorkerSupervisor.js'

/** Tasks of one worker that are preempted. */
export interface VictimChoice {
  supervisor: WorkerSupervisor
  victims: Set<PlacementRow>
}

/** A worker in its state after the victims chosen so far have stopped and the needs assigned so far are placed. */
interface Candidate extends VictimChoice {
  free: Resources
  /** Tasks that may be preempted, lowest priority first. */
  preemptible: PlacementRow[]
}

/**
 * Chooses for each need the worker on which the fewest tasks must be preempted, lowest priority first.
 *
 * @param supervisors - supervisors of the workers that accept new tasks
 * @param needs - resources to free, each on any one worker
 * @param below - tasks of classes below this priority may be preempted
 * @param context - classes of the rules and capacity of the workers
 * @returns the tasks to preempt; a need is left out when preempting all these tasks would not free enough
 */
export function chooseVictims (supervisors: WorkerSupervisor[], needs: Resources[], below: number, context: Pick<Context, 'classes' | 'capacity'>): VictimChoice[] {
  const priorities = new Map(context.classes().map(entry => [entry.name, entry.priority]))
  const priorityOf = (row: PlacementRow): number => priorities.get(row.class) ?? 0
  const candidates: Candidate[] = supervisors.map(supervisor => ({
    supervisor,
    victims: new Set(),
    free: context.capacity.free(supervisor.worker),
    preemptible: supervisor.runningPlacements().filter(row => priorityOf(row) < below).sort((a, b) => priorityOf(a) - priorityOf(b))
  }))
  for (const need of needs) assignNeed(need, candidates)
  return candidates.filter(candidate => candidate.victims.size > 0)
}

function assignNeed (need: Resources, candidates: Candidate[]): void {
  const options = candidates.flatMap(candidate => {
    const victims = selectVictims(candidate, need)
    return victims === null ? [] : [{ candidate, victims }]
  })
  const best = options.sort((a, b) => a.victims.length - b.victims.length)[0]
  if (best === undefined) return
  const { candidate, victims } = best
  for (const row of victims) candidate.victims.add(row)
  candidate.free = subtractResources(victims.reduce((sum, row) => addResources(sum, row.resources), candidate.free), need)
}

function selectVictims (candidate: Candidate, need: Resources): PlacementRow[] | null {
  const victims: PlacementRow[] = []
  let free = candidate.free
  for (const row of candidate.preemptible) {
    if (fitsResources(need, free)) break
    if (candidate.victims.has(row)) continue
    victims.push(row)
    free = addResources(free, row.resources)
  }
  return fitsResources(need, free) ? victims : null
}

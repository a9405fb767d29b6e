import { addResources, fitsResources, subtractResources } from '@rattanstep/core'
import type { Resources } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import type { PlacementRow } from '../types/rows.js'
import type { WorkerSupervisor } from './WorkerSupervisor.js'

/** Tasks of one worker that make room for others. */
export interface VictimChoice {
  supervisor: WorkerSupervisor
  victims: Set<PlacementRow>
}

/** A worker as it would be once the tasks chosen so far have gone and the needs met so far have come. */
interface Candidate extends VictimChoice {
  free: Resources
  /** Tasks that may go, lowest priority first. */
  preemptible: PlacementRow[]
}

/**
 * Chooses for each need the worker on which the fewest tasks must go, lowest priority first.
 *
 * @param supervisors - workers that may be given new tasks
 * @param needs - room that is wanted, each on any one worker
 * @param below - tasks of classes below this priority may go
 * @param context - rules and room
 * @returns the tasks that go; needs for which even all such tasks would not make enough room are left out
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
    const taken = selectVictims(candidate, need)
    return taken === null ? [] : [{ candidate, taken }]
  })
  const best = options.sort((a, b) => a.taken.length - b.taken.length)[0]
  if (best === undefined) return
  const { candidate, taken } = best
  for (const row of taken) candidate.victims.add(row)
  candidate.free = subtractResources(taken.reduce((sum, row) => addResources(sum, row.resources), candidate.free), need)
}

function selectVictims (candidate: Candidate, need: Resources): PlacementRow[] | null {
  const taken: PlacementRow[] = []
  let room = candidate.free
  for (const row of candidate.preemptible) {
    if (fitsResources(need, room)) break
    if (candidate.victims.has(row)) continue
    taken.push(row)
    room = addResources(room, row.resources)
  }
  return fitsResources(need, room) ? taken : null
}

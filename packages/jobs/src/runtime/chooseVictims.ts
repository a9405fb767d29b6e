import { addResources, fitsResources, subtractResources } from '@rattanstep/core'
import type { Resources } from '@rattanstep/core'
import type { Context } from '../types/context.js'
import type { PlacementRow } from '../types/rows.js'
import type { WorkerKeeper } from './WorkerSupervisor.js'

/** Tasks of one worker that make room for others. */
export interface VictimChoice {
  keeper: WorkerKeeper
  victims: Set<PlacementRow>
}

/** A worker as it would be once the tasks chosen so far have gone and the needs met so far have come. */
interface Prospect extends VictimChoice {
  free: Resources
  /** Tasks that may go, lowest priority first. */
  lower: PlacementRow[]
}

/**
 * Chooses for each need the worker on which the fewest tasks must go, lowest priority first.
 *
 * @param keepers - workers that may be given new tasks
 * @param needs - room that is wanted, each on any one worker
 * @param below - tasks of classes below this priority may go
 * @param context - rules and room
 * @returns the tasks that go; needs for which even all such tasks would not make enough room are left out
 */
export function chooseVictims (keepers: WorkerKeeper[], needs: Resources[], below: number, context: Pick<Context, 'classes' | 'room'>): VictimChoice[] {
  const priorities = new Map(context.classes().map(entry => [entry.name, entry.priority]))
  const priorityOf = (row: PlacementRow): number => priorities.get(row.class) ?? 0
  const prospects: Prospect[] = keepers.map(keeper => ({
    keeper,
    victims: new Set(),
    free: context.room.free(keeper.worker),
    lower: keeper.rows().filter(row => priorityOf(row) < below).sort((a, b) => priorityOf(a) - priorityOf(b))
  }))
  for (const need of needs) meet(need, prospects)
  return prospects.filter(prospect => prospect.victims.size > 0)
}

function meet (need: Resources, prospects: Prospect[]): void {
  const options = prospects.flatMap(prospect => {
    const taken = takeEnough(prospect, need)
    return taken === null ? [] : [{ prospect, taken }]
  })
  const best = options.sort((a, b) => a.taken.length - b.taken.length)[0]
  if (best === undefined) return
  const { prospect, taken } = best
  for (const row of taken) prospect.victims.add(row)
  prospect.free = subtractResources(taken.reduce((sum, row) => addResources(sum, row.resources), prospect.free), need)
}

function takeEnough (prospect: Prospect, need: Resources): PlacementRow[] | null {
  const taken: PlacementRow[] = []
  let room = prospect.free
  for (const row of prospect.lower) {
    if (fitsResources(need, room)) break
    if (prospect.victims.has(row)) continue
    taken.push(row)
    room = addResources(room, row.resources)
  }
  return fitsResources(need, room) ? taken : null
}

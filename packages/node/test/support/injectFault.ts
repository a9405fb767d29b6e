import type { Incarnation, Instance } from '@rattanstep/core'
import type { Delivery } from '@rattanstep/stand-ins'
import type { Cluster } from './Cluster.js'
import type { FaultName } from './matrixTable.js'
import type { Process } from './Process.js'

/** Duration of a pause; longer than a lease. */
const PAUSE_MS = 8000

/** Duration of a network cut or an outage. */
const OUTAGE_MS = 8000

/** Time for which a node is cut off from all others; long enough for the new owner to fill its workers. */
const ISOLATION_MS = 14_000

/** Delay after which a killed process is restarted. */
const RESTART_MS = 3000

/** Extra delay of a late message. */
const LATE_MS = 5000

/** Extra delay of a late write or a slow table. */
const SLOW_MS = 1500

/** Processes and worker that take part in the step at which a fault is injected. */
export interface FaultTarget {
  sender: Process
  /** Set if the step is a message. */
  receiver: Process | null
  /** Set if the step is a command to a worker or a dispatch. */
  worker: Instance | null
}

const LOST: Delivery = { copies: 0, extraDelay: 0 }
const DOUBLED: Delivery = { copies: 2, extraDelay: 0 }
const LATE: Delivery = { copies: 1, extraDelay: LATE_MS }
const UNCHANGED: Delivery = { copies: 1, extraDelay: 0 }

/**
 * Injects a fault.
 *
 * @param cluster - a simulated cell
 * @param fault - the fault
 * @param target - processes and worker that it affects
 * @returns how the network delivers the message of this step
 */
export function injectFault (cluster: Cluster, fault: FaultName, target: FaultTarget): Delivery {
  const { sender, receiver } = target
  switch (fault) {
    case 'message lost': return LOST
    case 'message doubled': return DOUBLED
    case 'message late': return LATE
    case 'sender dies': scheduleKill(cluster, sender); return UNCHANGED
    case 'receiver dies': scheduleKill(cluster, receiver!); return UNCHANGED
    case 'sender pauses': schedulePause(cluster, sender); return UNCHANGED
    case 'receiver pauses': schedulePause(cluster, receiver!); return UNCHANGED
    case 'cut one way': cut(cluster, sender.incarnation, receiver!.incarnation); return UNCHANGED
    case 'cut both ways':
      cut(cluster, sender.incarnation, receiver!.incarnation)
      cut(cluster, receiver!.incarnation, sender.incarnation)
      return UNCHANGED
    case 'sender cut off': isolate(cluster, sender); return UNCHANGED
    default:
      injectPlatformFault(cluster, fault, target)
      return UNCHANGED
  }
}

function injectPlatformFault (cluster: Cluster, fault: FaultName, target: FaultTarget): void {
  const { simulation, platform, endpoints } = cluster.environment
  const worker = target.worker ?? cluster.random.pick(cluster.workers)
  const endLater = (heal: () => void): void => { simulation.schedule(OUTAGE_MS, heal) }
  switch (fault) {
    case 'table down':
      platform.table.faults.down = true
      return endLater(() => { platform.table.faults.down = false })
    case 'table slow':
      platform.table.faults.slow = SLOW_MS
      return endLater(() => { platform.table.faults.slow = 0 })
    case 'table answers lost':
      platform.table.faults.loseAnswers = true
      return endLater(() => { platform.table.faults.loseAnswers = false })
    case 'table writes late':
      platform.table.faults.lateWrites = SLOW_MS
      return endLater(() => { platform.table.faults.lateWrites = 0 })
    case 'list down':
      platform.instances.faults.down = true
      return endLater(() => {
        platform.instances.faults.down = false
        cluster.listAvailableSince = simulation.time
      })
    case 'worker dies':
      return endpoints.kill(worker)
    case 'worker mute':
      endpoints.mute.add(worker.id)
      return endLater(() => { endpoints.mute.delete(worker.id) })
    case 'worker commands lost':
      endpoints.faults(worker).unreachable = true
      return endLater(() => { endpoints.faults(worker).unreachable = false })
    default:
      throw new Error(`no injection is defined for the fault ${fault}`)
  }
}

/** Kills the process after the turn of the event loop in which the step happened. */
function scheduleKill (cluster: Cluster, process: Process): void {
  const { simulation, platform } = cluster.environment
  const { id } = process.options
  simulation.schedule(0, () => {
    if (!process.isUp) return
    process.kill()
    platform.instances.remove(id)
    simulation.schedule(RESTART_MS, () => { cluster.startNode(id) })
  })
}

function schedulePause (cluster: Cluster, process: Process): void {
  cluster.environment.simulation.schedule(0, () => { process.pause(PAUSE_MS) })
}

function cut (cluster: Cluster, from: Incarnation, to: Incarnation, duration = OUTAGE_MS): void {
  const { wire, simulation } = cluster.environment
  const pair = `${nodeIdOf(from)}>${nodeIdOf(to)}`
  wire.cutLinks.add(pair)
  simulation.schedule(duration, () => { wire.cutLinks.delete(pair) })
}

function isolate (cluster: Cluster, process: Process): void {
  for (const other of cluster.processes) {
    if (other.options.id === process.options.id) continue
    cut(cluster, process.incarnation, other.incarnation, ISOLATION_MS)
    cut(cluster, other.incarnation, process.incarnation, ISOLATION_MS)
  }
}

function nodeIdOf (incarnation: Incarnation): string {
  return incarnation.slice(0, incarnation.indexOf('@'))
}

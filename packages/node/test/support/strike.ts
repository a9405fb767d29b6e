import type { Incarnation, Instance } from '@rattanstep/core'
import type { Delivery } from '@rattanstep/stand-ins'
import type { Cluster } from './Cluster.js'
import type { FaultName } from './matrixTable.js'
import type { Process } from './Process.js'

/** Milliseconds that a paused process stands still: longer than a lease. */
const PAUSE_MS = 8000

/** Milliseconds that a cut or an outage lasts. */
const OUTAGE_MS = 8000

/** Milliseconds that a node is cut off from all others: long enough for a successor to fill its workers. */
const ISOLATION_MS = 14_000

/** Milliseconds after which a dead process is started anew. */
const RESTART_MS = 3000

/** Milliseconds by which a late message is late. */
const LATE_MS = 5000

/** Milliseconds by which a late write or a slow table is late. */
const SLOW_MS = 1500

/** Where a fault strikes. */
export interface Place {
  sender: Process
  /** Set at a message. */
  receiver: Process | null
  /** Set at a command to a worker and at a dispatch. */
  worker: Instance | null
}

const LOST: Delivery = { copies: 0, extraDelay: 0 }
const DOUBLED: Delivery = { copies: 2, extraDelay: 0 }
const LATE: Delivery = { copies: 1, extraDelay: LATE_MS }
const ORDINARY: Delivery = { copies: 1, extraDelay: 0 }

/**
 * Lets a fault strike.
 *
 * @param cluster - a simulated cell
 * @param fault - what strikes
 * @param place - where
 * @returns how the message at this step is carried
 */
export function strike (cluster: Cluster, fault: FaultName, place: Place): Delivery {
  const { sender, receiver } = place
  switch (fault) {
    case 'message lost': return LOST
    case 'message doubled': return DOUBLED
    case 'message late': return LATE
    case 'sender dies': killSoon(cluster, sender); return ORDINARY
    case 'receiver dies': killSoon(cluster, receiver!); return ORDINARY
    case 'sender pauses': pauseSoon(cluster, sender); return ORDINARY
    case 'receiver pauses': pauseSoon(cluster, receiver!); return ORDINARY
    case 'cut one way': cut(cluster, sender.incarnation, receiver!.incarnation); return ORDINARY
    case 'cut both ways':
      cut(cluster, sender.incarnation, receiver!.incarnation)
      cut(cluster, receiver!.incarnation, sender.incarnation)
      return ORDINARY
    case 'sender cut off': isolate(cluster, sender); return ORDINARY
    default:
      strikePlatform(cluster, fault, place)
      return ORDINARY
  }
}

function strikePlatform (cluster: Cluster, fault: FaultName, place: Place): void {
  const { simulation, platform, endpoints } = cluster.surroundings
  const worker = place.worker ?? cluster.random.pick(cluster.workers)
  const later = (heal: () => void): void => { simulation.schedule(OUTAGE_MS, heal) }
  switch (fault) {
    case 'table down':
      platform.table.faults.down = true
      return later(() => { platform.table.faults.down = false })
    case 'table slow':
      platform.table.faults.slow = SLOW_MS
      return later(() => { platform.table.faults.slow = 0 })
    case 'table answers lost':
      platform.table.faults.loseAnswers = true
      return later(() => { platform.table.faults.loseAnswers = false })
    case 'table writes late':
      platform.table.faults.lateWrites = SLOW_MS
      return later(() => { platform.table.faults.lateWrites = 0 })
    case 'list down':
      platform.instances.faults.down = true
      return later(() => {
        platform.instances.faults.down = false
        cluster.listBackAt = simulation.time
      })
    case 'worker dies':
      return endpoints.kill(worker)
    case 'worker mute':
      endpoints.mute.add(worker.id)
      return later(() => { endpoints.mute.delete(worker.id) })
    case 'worker commands lost':
      endpoints.faults(worker).unreachable = true
      return later(() => { endpoints.faults(worker).unreachable = false })
    default:
      throw new Error(`nothing strikes for ${fault}`)
  }
}

/** The process still finishes the turn in which the step happened. */
function killSoon (cluster: Cluster, process: Process): void {
  const { simulation, platform } = cluster.surroundings
  const { id } = process.options
  simulation.schedule(0, () => {
    if (!process.isUp) return
    process.kill()
    platform.instances.remove(id)
    simulation.schedule(RESTART_MS, () => { cluster.startNode(id) })
  })
}

function pauseSoon (cluster: Cluster, process: Process): void {
  cluster.surroundings.simulation.schedule(0, () => { process.pause(PAUSE_MS) })
}

function cut (cluster: Cluster, from: Incarnation, to: Incarnation, duration = OUTAGE_MS): void {
  const { wire, simulation } = cluster.surroundings
  const pair = `${nameOf(from)}>${nameOf(to)}`
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

function nameOf (incarnation: Incarnation): string {
  return incarnation.slice(0, incarnation.indexOf('@'))
}

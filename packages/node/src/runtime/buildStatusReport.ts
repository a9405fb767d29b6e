import type { Incarnation } from '@rattanstep/core'
import type { ResolvedRules, ResolvedSettings } from '@rattanstep/rules'
import type { ClassStatus, NodeState, StatusReport } from '../types/StatusReport.js'
import { findProblems } from './findProblems.js'
import type { Member } from './Member.js'

/** Sources of a status report. */
export interface StatusInput {
  settings: ResolvedSettings
  member: Member
  incarnation: Incarnation
  state: NodeState
  /** Milliseconds since the process started. */
  uptime: number
  front: StatusReport['front']
  metrics: StatusReport['metrics']
}

/**
 * @param input - parts and state of one node
 * @returns the report shown to operators
 */
export function buildStatusReport (input: StatusInput): StatusReport {
  const { settings, member, incarnation, state, uptime, front, metrics } = input
  const ownership = member.ownership.status()
  const admission = member.admission.status()
  const workers = member.fleet.workers()
  const problems = findProblems({
    state,
    ownership,
    lapsedFor: admission.lapsedFor,
    listLostFor: member.fleet.unavailableFor(),
    rulesReady: member.rules !== null,
    workers: workers.length,
    silentWorkers: member.reportPoller.silentWorkers()
  })
  return {
    node: settings.id,
    incarnation,
    cell: settings.cell,
    dataCentre: settings.dataCentre,
    state,
    uptime,
    problems,
    rules: { version: member.configuration.version },
    classes: buildClassStatuses(member.rules?.rules ?? null, admission.load.waiting),
    ownership,
    admission,
    fleet: {
      workers: workers.length,
      leaving: workers.filter(worker => worker.state === 'leaving').length,
      listAge: member.fleet.age()
    },
    front,
    metrics
  }
}

function buildClassStatuses (rules: ResolvedRules | null, waiting: StatusReport['admission']['load']['waiting']): ClassStatus[] {
  const counts = new Map(waiting.map(entry => [entry.priority, entry.count]))
  return (rules?.classes ?? []).map(({ name, priority, askedBy, line }) => ({
    name,
    priority,
    askedBy,
    line,
    waiting: counts.get(priority) ?? 0
  }))
}

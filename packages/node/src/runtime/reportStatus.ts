import type { ResolvedRules } from '@rattanstep/rules'
import type { ClassStatus, StatusReport } from '../types/StatusReport.js'

/**
 * @param rules - rules in force, if any
 * @param waiting - requests that wait, by priority
 * @returns each class with its rule and who asked for it
 */
export function reportClasses (rules: ResolvedRules | null, waiting: StatusReport['admission']['load']['waiting']): ClassStatus[] {
  const counts = new Map(waiting.map(entry => [entry.priority, entry.count]))
  return (rules?.classes ?? []).map(({ name, priority, askedBy, line }) => ({
    name,
    priority,
    askedBy,
    line,
    waiting: counts.get(priority) ?? 0
  }))
}

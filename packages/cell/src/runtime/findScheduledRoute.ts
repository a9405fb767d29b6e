import type { ScheduledRoute } from '../types/configuration.js'
import type { Job } from '../types/job.js'

/**
 * @param job - a job
 * @param routeOf - returns the configured route with a name
 * @returns the job's route as configured, or else with the terms stored with the job, or `undefined` if there are none
 */
export function findScheduledRoute ({ route: name, terms }: Job, routeOf: (name: string) => ScheduledRoute | undefined): ScheduledRoute | undefined {
  return routeOf(name) ?? (terms === undefined ? undefined : { name, ...terms })
}

import * as admission from '@rattanstep/admission'
import * as cell from '@rattanstep/cell'
import * as configuration from '@rattanstep/configuration'
import * as front from '@rattanstep/front'
import * as jobs from '@rattanstep/jobs'
import * as node from '@rattanstep/node'
import * as ownership from '@rattanstep/ownership'
import * as peer from '@rattanstep/peer'
import * as platform from '@rattanstep/platform'
import type { LogEvent } from '@rattanstep/telemetry'

/**
 * Catalogue of all log events that the packages define.
 */

/** The log events of one or more packages, with the range of their numbers. */
export interface CatalogueSection {
  name: string
  /** First number of the range that is reserved for the section. */
  first: number
  /** Last number of the range. */
  last: number
  /** Events, sorted by number. */
  events: LogEvent[]
}

/** Number of event numbers that are reserved for each section. */
const RANGE_SIZE = 1000

/** For each section, its name, its first event number and the modules that export its events. */
const MODULES_BY_SECTION: Array<[string, number, object[]]> = [
  ['front', 1000, [front]],
  ['admission', 2000, [admission]],
  ['ownership', 3000, [ownership]],
  ['jobs', 4000, [jobs]],
  ['node and configuration', 5000, [node, configuration]],
  ['peer', 6000, [peer]],
  ['platform', 7000, [platform]],
  ['cell', 8000, [cell]]
]

/** @returns the events of every package, collected from the exports whose names end in `EVENTS` */
export function readCatalogue (): CatalogueSection[] {
  return MODULES_BY_SECTION.map(([name, first, modules]) => ({ name, first, last: first + RANGE_SIZE - 1, events: readEvents(modules) }))
}

/**
 * @param number - number of an event
 * @returns the event, or `null` if no package defines it
 */
export function findEvent (number: number): LogEvent | null {
  return readCatalogue().flatMap(section => section.events).find(event => event.number === number) ?? null
}

function readEvents (modules: object[]): LogEvent[] {
  return modules.flatMap(module => Object.entries(module))
    .filter(([name]) => name.endsWith('EVENTS'))
    .flatMap(([, events]) => Object.values(events as Record<string, LogEvent>))
    .sort((a, b) => a.number - b.number)
}

import type { Schema } from '../types/Field.js'
import type { ResolvedJobFile, ResolvedTaskGroup } from '../types/jobFile.js'
import type { ResolvedClass, ResolvedLimits, ResolvedRoute, ResolvedTeam, WorkKind } from '../types/rules.js'
import type { ResolvedSettings } from '../types/settings.js'
import { address, addresses, decimal, duration, flag, integer, memory, oneOf, percentage, size, text } from './fields.js'

/**
 * Every key of rules, settings and job files, with its unit, default and bounds. The tables of the reference are
 * generated from these schemas.
 */

/** Kinds of work, as written in a rules file. */
export const WORK_KINDS: readonly WorkKind[] = ['request', 'batch', 'gang', 'service']

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/
const NAME_DESCRIPTION = 'a lower-case letter, then up to 62 lower-case letters, digits or hyphens'
const TEAM_PATTERN = /^(?:[a-z][a-z0-9-]{0,62})?$/
const TEAM_DESCRIPTION = `empty, or ${NAME_DESCRIPTION}`
const COMMAND_PATTERN = /^.{1,4096}$/u
const COMMAND_DESCRIPTION = 'one line of 1 to 4096 characters'
const PATH_PATTERN = /^(?:\/|(?:\/(?:\*{1,2}|[^/\s?#*]+)){1,32})$/
const PATH_DESCRIPTION = 'a path that starts with / and has at most 32 segments; a segment is *, ** or contains no *, white space, ? or #'
const METHOD_PATTERN = /^(?:\*|[A-Z][A-Z-]{0,31})$/
const METHOD_DESCRIPTION = 'a method in upper case, or *'

/** Keys of a line under `classes`. */
export const CLASS_SCHEMA: Schema<Omit<ResolvedClass, 'askedBy' | 'line'>> = {
  name: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Name of the class; unique.', example: 'quick-check' }),
  kind: oneOf(WORK_KINDS, { meaning: 'Kind of work. Requests arrive through routes, the other kinds through jobs.', example: 'request', defaultText: 'request' }),
  priority: integer({ meaning: 'Priority of the class; work with a higher priority starts first.', example: '80', defaultText: '50', minimum: '0', maximum: '100' }),
  reserve: percentage({ meaning: 'Share of all slots that is reserved for this class.', example: '10%', defaultText: '0%', minimum: '0%', maximum: '100%' }),
  most: percentage({ meaning: 'Largest share of all slots that the class may use.', example: '60%', defaultText: '100%', minimum: '1%', maximum: '100%' }),
  patience: duration({ meaning: 'How long work waits for free capacity before it is refused.', example: '2s', defaultText: '2s', minimum: '0ms', maximum: '720h' }),
  bound: duration({ meaning: 'How long one run may take before it is stopped.', example: '30s', defaultText: '30s', minimum: '1ms', maximum: '720h' }),
  weight: decimal({ meaning: 'Weight by which classes of the same priority share the capacity.', example: '2', defaultText: '1', minimum: '0.1', maximum: '1000' }),
  ageing: duration({ meaning: 'Waiting time that raises the priority by one point; 0ms turns ageing off.', example: '500ms', defaultText: '1s', minimum: '0ms', maximum: '24h' }),
  expected: duration({ meaning: 'Run time assumed until run times have been measured; also determines when a silent connection is closed, see below.', example: '40ms', defaultText: '100ms', minimum: '1ms', maximum: '720h' }),
  retries: percentage({ meaning: 'Share of the requests of the class that may be retried after a failure.', example: '10%', defaultText: '10%', minimum: '0%', maximum: '100%' }),
  preempts: oneOf(['nothing', 'throttle', 'checkpoint', 'stop'], { meaning: 'How far work of lower priority may be preempted so that work of this class starts.', example: 'throttle', defaultText: 'nothing' })
}

/** Keys of a line under `routes`. */
export const ROUTE_SCHEMA: Schema<Omit<ResolvedRoute, 'askedBy' | 'line'>> = {
  path: text(PATH_PATTERN, PATH_DESCRIPTION, { meaning: 'Path pattern: `*` matches one segment, `**` any number of segments.', example: '/checks/*/final' }),
  method: text(METHOD_PATTERN, METHOD_DESCRIPTION, { meaning: 'Method in upper case; `*` matches any method.', example: 'POST', defaultText: '*' }),
  class: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Class of the requests that match.', example: 'quick-check' }),
  idempotent: flag({ meaning: 'Whether a request may be retried after a failure. Defaults to true if `method` is GET, HEAD or OPTIONS.', example: 'true', defaultText: 'false' }),
  cores: decimal({ meaning: 'Processor cores that a request needs.', example: '0.5', defaultText: '0', minimum: '0', maximum: '1024' }),
  memory: memory({ meaning: 'Memory that a request needs.', example: '64MiB', defaultText: '0MiB', minimum: '0MiB', maximum: '16384GiB' }),
  accelerators: integer({ meaning: 'Accelerators that a request needs.', example: '1', defaultText: '0', minimum: '0', maximum: '64' })
}

/** Keys of a line under `teams`. */
export const TEAM_SCHEMA: Schema<Omit<ResolvedTeam, 'askedBy' | 'line'>> = {
  name: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Name of the team; unique.', example: 'field-desk' }),
  most: percentage({ meaning: 'Largest share of all slots that the team may use at once.', example: '50%', defaultText: '100%', minimum: '1%', maximum: '100%' })
}

/** Keys under `limits`. */
export const LIMITS_SCHEMA: Schema<ResolvedLimits> = {
  header: size({ meaning: 'Largest size of a request\'s header.', example: '16KiB', defaultText: '16KiB', minimum: '1KiB', maximum: '256KiB' }),
  body: size({ meaning: 'Largest size of a request\'s body.', example: '64MiB', defaultText: '64MiB', minimum: '0B', maximum: '16GiB' }),
  callers: integer({ meaning: 'Largest number of requests in flight at one node.', example: '4000', defaultText: '4000', minimum: '1', maximum: '100000' }),
  perCaller: integer({ meaning: 'Largest number of requests of one caller that are in flight or waiting at one node.', example: '400', defaultText: '400', minimum: '1', maximum: '100000' }),
  headerTimeout: duration({ meaning: 'How long a caller may take to send its header.', example: '10s', defaultText: '10s', minimum: '100ms', maximum: '10m' }),
  idleTimeout: duration({ meaning: 'How long a body transfer may stall before the request is aborted.', example: '30s', defaultText: '30s', minimum: '100ms', maximum: '1h' })
}

/** Keys of a job file, except `tasks`. */
export const JOB_SCHEMA: Schema<Omit<ResolvedJobFile, 'tasks'>> = {
  id: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Name of the job; unique in the cell.', example: 'scene-4' }),
  kind: oneOf(['batch', 'gang', 'service'], { meaning: 'Kind of the job. A gang starts all its tasks at once; a service is kept running.', example: 'batch', defaultText: 'batch' }),
  class: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Name of a class in the current rules; it must be of the same kind as the job.', example: 'audio-render' }),
  team: text(TEAM_PATTERN, TEAM_DESCRIPTION, { meaning: 'Team whose quota applies; "" for none.', example: 'audio-studio', defaultText: '' })
}

/** Keys of an entry of `tasks`. */
export const TASK_SCHEMA: Schema<ResolvedTaskGroup> = {
  command: text(COMMAND_PATTERN, COMMAND_DESCRIPTION, { meaning: 'Command that the worker runs.', example: 'render scene-4' }),
  count: integer({ meaning: 'Number of tasks with this description.', example: '3', defaultText: '1', minimum: '1', maximum: '1000' }),
  cores: decimal({ meaning: 'Processor cores that one task needs.', example: '2', defaultText: '1', minimum: '0', maximum: '1024' }),
  memory: memory({ meaning: 'Memory that one task needs.', example: '2GiB', defaultText: '256MiB', minimum: '0MiB', maximum: '16384GiB' }),
  accelerators: integer({ meaning: 'Accelerators that one task needs.', example: '1', defaultText: '0', minimum: '0', maximum: '64' }),
  expected: duration({ meaning: 'How long a task is expected to run.', example: '10m', defaultText: '1m', minimum: '1ms', maximum: '720h' })
}

/** Keys of a settings file. */
export const SETTINGS_SCHEMA: Schema<ResolvedSettings> = {
  id: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Name of the node; unique in the cell.', example: 'node-1' }),
  cell: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Name of the cell that the node belongs to.', example: 'winter' }),
  dataCentre: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Data centre that the node runs in.', example: 'jm-south-1' }),
  front: address({ meaning: 'Address on which the node serves callers\' HTTP requests. Port 0 lets the system choose a port.', example: '127.0.0.1:8080', anyPort: true }),
  peer: address({ meaning: 'Address on which the node listens for other nodes. Port 0 lets the system choose a port.', example: '127.0.0.1:7071', anyPort: true }),
  control: address({ meaning: 'Address on which the node serves operators\' HTTP requests, readiness, liveness and metrics. Port 0 lets the system choose a port.', example: '127.0.0.1:7070', anyPort: true }),
  platform: address({ meaning: 'Address of the platform service.', example: '127.0.0.1:7900' }),
  seeds: addresses({ meaning: 'Peer addresses of nodes that are queried for the assignment and the rules while the table is unavailable.', example: '[127.0.0.1:7171, 127.0.0.1:7271]' }),
  secret: text(/^[\x21-\x7e]{16,256}$/, '16 to 256 printable ASCII characters without spaces', { meaning: 'Secret shared by nodes and operators. Can be set in the environment variable `RATTANSTEP_SECRET` instead.', example: 'change-me-before-winter' }),
  log: oneOf(['debug', 'info', 'warn', 'error'], { meaning: 'Lowest severity that is logged.', example: 'info', defaultText: 'info' }),
  drain: duration({ meaning: 'How long a planned stop waits for requests in flight.', example: '30s', defaultText: '30s', minimum: '0ms', maximum: '1h' })
}

import { readFileSync } from 'node:fs'
import { Writable } from 'node:stream'
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { runProgram } from '../../src/index.js'
import { allTableNames, fillTables, findTableNames } from '../../src/runtime/referenceTables.js'

const PAGES = ['rules', 'settings', 'jobs']

function page (name: string): string {
  return readFileSync(new URL(`../../../../../docs/reference/${name}.md`, import.meta.url), 'utf8')
}

/** What a command line prints. */
async function output (args: string[]): Promise<string> {
  let text = ''
  const stdout = new Writable({
    write: (chunk: Buffer, _encoding, callback) => {
      text += chunk.toString()
      callback()
    }
  })
  await runProgram(args, { stdout })
  return text
}

describe('reference', () => {
  for (const name of PAGES) {
    test(`has the keys of ${name} as the schema has them; npm run docs:reference writes them`, () => {
      expect(page(name)).toEqual(fillTables(page(name)))
      expect(page(name)).toEqual(expect.includes('| Key | Unit |'))
    })
  }

  test('has every table once', () => {
    expect(PAGES.flatMap(name => findTableNames(page(name))).sort()).toEqual(allTableNames().sort())
  })

  test('lists every code of a finding', () => {
    const sources = ['readDocument', 'readFields', 'readSections', 'readRules', 'checkRules', 'parseRules', 'decodeText', 'fields']
      .map(name => readFileSync(new URL(`../../../../rules/src/runtime/${name}.ts`, import.meta.url), 'utf8')).join()
    const codes = new Set([...sources.matchAll(/report\('([a-z-]+)'|code: '([a-z-]+)'/g)].map(match => match[1] ?? match[2]!))
    expect(codes.size).toBeGreaterThan(20)
    expect([...codes].filter(code => !page('rules').includes(`\`${code}\``))).toEqual([])
  })

  test('names every command and option of the program', async () => {
    const commands = [...(await output(['--help'])).matchAll(/^ {2}rattanstep (\w+)/gm)].map(match => match[1]!)
    expect(commands.length).toBeGreaterThan(10)
    for (const command of commands) {
      const options = [...(await output([command, '--help'])).matchAll(/^ {2}(--[a-z-]+)/gm)].map(match => match[1]!)
      const section = page('cli').split(/^## /m).find(text => text.startsWith(`${command}\n`)) ?? ''
      expect([command, section === '']).toEqual([command, false])
      expect(options.filter(option => !COMMON.includes(option) && !section.includes(option))).toEqual([])
    }
    expect(COMMON.filter(option => !page('cli').includes(option))).toEqual([])
  })
})

/** Options that the page describes once for all commands. */
const COMMON = ['--json', '--node', '--secret']

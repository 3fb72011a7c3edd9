#include "completion.hpp"

#include "commands.hpp"

namespace heronvane::cli {

namespace {

using Takes = CommandInfo::Takes;

std::string command_names() {
  std::string all;
  for (const auto& c : kCommands) all.append(all.empty() ? "" : " ").append(c.name);
  return all;
}

// Arguments that list instance names for completion. The timeout of 1 s keeps the shell responsive if an
// agent does not answer; there are no completions then.
constexpr const char* kListArguments = "--timeout 1 list --names 2>/dev/null </dev/null";

std::string bash() {
  std::string s =
      "# bash completion of heronvanectl\n"
      "_heronvanectl() {\n"
      "  local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD-1]} command='' i w\n"
      "  local -a agent=()\n"
      "  for ((i = 1; i < COMP_CWORD; i++)); do\n"
      "    w=${COMP_WORDS[i]}\n"
      "    case $w in\n"
      "      --agent|--cert|--key|--ca) agent+=(\"$w\" \"${COMP_WORDS[i+1]}\"); ((i++)) ;;\n"
      "      -o|--output|--timeout|--max-unavailable|-n|--lines|--limit|--seconds) ((i++)) ;;\n"
      "      -*) ;;\n"
      "      *) [[ -z $command ]] && command=$w ;;\n"
      "    esac\n"
      "  done\n"
      "  local options='" +
      std::string(kGlobalOptions) +
      "' takes='' words=''\n"
      "  case $prev in\n"
      "    --agent|--cert|--key|--ca) COMPREPLY=($(compgen -f -- \"$cur\")); return ;;\n"
      "    -o|--output) COMPREPLY=($(compgen -W 'table json' -- \"$cur\")); return ;;\n"
      "    --timeout|--max-unavailable|-n|--lines|--limit|--seconds) return ;;\n"
      "  esac\n"
      "  case $command in\n"
      "    '') words='" +
      command_names() + "' ;;\n";
  for (const auto& c : kCommands) {
    s.append("    ").append(c.name).append(") options+=' ").append(c.options).append("'");
    if (c.takes == Takes::instances) s += "; takes=instances";
    if (c.takes == Takes::file) s += "; takes=file";
    if (c.name == "completion") s += "; words='bash zsh fish'";
    s += " ;;\n";
  }
  s += "  esac\n"
       "  if [[ $cur == -* ]]; then\n"
       "    COMPREPLY=($(compgen -W \"$options\" -- \"$cur\"))\n"
       "  elif [[ $takes == file ]]; then\n"
       "    COMPREPLY=($(compgen -f -- \"$cur\"))\n"
       "  elif [[ $takes == instances ]]; then\n"
       "    words=$(\"${COMP_WORDS[0]}\" \"${agent[@]}\" " +
       std::string(kListArguments) +
       ")\n"
       "    COMPREPLY=($(compgen -W \"$words\" -- \"$cur\"))\n"
       "  else\n"
       "    COMPREPLY=($(compgen -W \"$words\" -- \"$cur\"))\n"
       "  fi\n"
       "}\n"
       "complete -o filenames -F _heronvanectl heronvanectl\n";
  return s;
}

std::string zsh() {
  std::string s =
      "#compdef heronvanectl\n"
      "# zsh completion of heronvanectl\n"
      "_heronvanectl() {\n"
      "  local -a commands words_of agent\n"
      "  local command='' i\n"
      "  commands=(\n";
  for (const auto& c : kCommands) s.append("    '").append(c.name).append(":").append(c.help).append("'\n");
  s += "  )\n"
       "  for ((i = 2; i < CURRENT; i++)); do\n"
       "    case $words[i] in\n"
       "      --agent|--cert|--key|--ca) agent+=($words[i] $words[i+1]); ((i++)) ;;\n"
       "      -o|--output|--timeout|--max-unavailable|-n|--lines|--limit|--seconds) ((i++)) ;;\n"
       "      -*) ;;\n"
       "      *) [[ -z $command ]] && command=$words[i] ;;\n"
       "    esac\n"
       "  done\n"
       "  case $words[CURRENT-1] in\n"
       "    --agent|--cert|--key|--ca) _files; return ;;\n"
       "    -o|--output) compadd table json; return ;;\n"
       "    --timeout|--max-unavailable|-n|--lines|--limit|--seconds) return ;;\n"
       "  esac\n"
       "  if [[ $words[CURRENT] == -* ]]; then\n"
       "    compadd -- " +
       std::string(kGlobalOptions) +
       "\n"
       "  fi\n"
       "  case $command in\n"
       "    '') _describe command commands ;;\n";
  for (const auto& c : kCommands) {
    s.append("    ").append(c.name).append(")");
    if (!c.options.empty())
      s.append(" [[ $words[CURRENT] == -* ]] && compadd -- ").append(c.options).append(";");
    if (c.takes == Takes::instances)
      s.append(" compadd -- ${(f)\"$($words[1] $agent ").append(kListArguments).append(")\"}");
    if (c.takes == Takes::file) s += " _files";
    if (c.name == "completion") s += " compadd bash zsh fish";
    s += " ;;\n";
  }
  s += "  esac\n"
       "}\n"
       "if [[ $funcstack[1] == _heronvanectl ]]; then _heronvanectl \"$@\"; else compdef _heronvanectl "
       "heronvanectl; fi\n";
  return s;
}

std::string fish() {
  std::string s =
      "# fish completion of heronvanectl\n"
      "complete -c heronvanectl -f\n"
      "complete -c heronvanectl -l agent -r -F -d 'Socket path or https://HOST:PORT'\n"
      "complete -c heronvanectl -l cert -r -F -d 'Client certificate'\n"
      "complete -c heronvanectl -l key -r -F -d 'Its key'\n"
      "complete -c heronvanectl -l ca -r -F -d 'Who signed the agents'\n"
      "complete -c heronvanectl -s o -l output -x -a 'table json'\n"
      "complete -c heronvanectl -l timeout -x -d 'Seconds'\n";
  for (const auto& c : kCommands) {
    const std::string name(c.name), seen = "'__fish_seen_subcommand_from " + name + "'";
    s.append("complete -c heronvanectl -n __fish_use_subcommand -a ")
        .append(name)
        .append(" -d '")
        .append(c.help);
    s += "'\n";
    std::string_view rest = c.options;
    while (!rest.empty()) {
      const auto end = std::min(rest.find(' '), rest.size());
      const auto option = rest.substr(0, end);
      rest.remove_prefix(std::min(end + 1, rest.size()));
      const bool is_long = option.substr(0, 2) == "--";
      s.append("complete -c heronvanectl -n ").append(seen).append(is_long ? " -l " : " -s ");
      s.append(option.substr(is_long ? 2 : 1)).append("\n");
    }
    if (c.takes == Takes::instances)
      s.append("complete -c heronvanectl -n ")
          .append(seen)
          .append(" -a '(heronvanectl ")
          .append(kListArguments)
          .append(")'\n");
    if (c.takes == Takes::file) s.append("complete -c heronvanectl -n ").append(seen).append(" -F\n");
    if (c.name == "completion")
      s.append("complete -c heronvanectl -n ").append(seen).append(" -a 'bash zsh fish'\n");
  }
  return s;
}

}  // namespace

std::string completion_script(const std::string& shell) {
  return shell == "bash" ? bash() : shell == "zsh" ? zsh() : fish();
}

}  // namespace heronvane::cli

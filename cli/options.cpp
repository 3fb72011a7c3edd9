#include "options.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <sstream>
#include <string_view>

namespace heronvane::cli {

namespace {

std::string default_agent(const std::function<std::string(const char*)>& environment) {
  if (auto agent = environment("HERONVANE_AGENT"); !agent.empty()) return agent;
  if (auto folder = environment("XDG_RUNTIME_DIR"); !folder.empty()) return folder + "/heronvane/agent.sock";
  return "/run/heronvane/agent.sock";
}

const CommandInfo& command_info(std::string_view name) {
  for (const auto& c : kCommands)
    if (c.name == name) return c;
  throw std::logic_error("the command is missing in kCommands");
}

// Checks an instance name by the agent's rules, since names are sent unescaped in request targets. Returns
// the error, "" if the name is valid.
std::string instance_name_error(const std::string& text) {
  const bool fits =
      !text.empty() && text.size() <= 64 &&
      text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") ==
          std::string::npos &&
      text[0] != '.' && text[0] != '-';
  return fits ? "" : text + " is not a valid instance name (letters, digits, . _ -, up to 64)";
}

class Parse {
 public:
  Parse(const std::function<std::string(const char*)>& environment)
      : app_("Manages relays through heronvane-agent.", "heronvanectl"), environment_(environment) {
    app_.require_subcommand(1);
    app_.fallthrough();
    app_.set_help_all_flag("--help-all", "Help of every command");
    auto& g = invocation_.global;
    app_.add_option("--agent", g.agents, "Its socket or https://HOST:PORT; repeatable")
        ->allow_extra_args(false)
        ->type_name("PATH|URL");
    app_.add_option("--cert", g.cert, "Client certificate for https agents (PEM)")->type_name("FILE");
    app_.add_option("--key", g.key, "Its key (PEM)")->type_name("FILE");
    app_.add_option("--ca", g.ca, "Who signed the agents' certificates (PEM)")->type_name("FILE");
    app_.add_option("-o,--output", output_, "table or json")->check(CLI::IsMember({"table", "json"}));
    app_.add_option("--timeout", timeout_, "For an answer (10), for an operation's end (none)")
        ->check(CLI::Range(0.1, 86400.0))
        ->type_name("SECONDS");
    app_.add_flag("--version", version_flag_, "The same as the command version");
    add_change_commands();
    add_read_commands();
  }
  Invocation parse(int argc, const char* const* argv) {
    // --version replaces the command, so CLI11 must not require one.
    if (std::any_of(argv, argv + argc,
                    [](const char* argument) { return std::string_view(argument) == "--version"; }))
      app_.require_subcommand(0, 1);
    app_.parse(argc, argv);
    set_globals();
    if (version_flag_) {
      invocation_.command = Version{};
      return std::move(invocation_);
    }
    make_command_();
    return std::move(invocation_);
  }
  CLI::App& app() { return app_; }

 private:
  CLI::App* command(std::string_view name, std::function<void()> make) {
    auto* c = app_.add_subcommand(std::string(name), std::string(command_info(name).help));
    c->callback([this, make = std::move(make)] { make_command_ = make; });
    return c;
  }
  void set_globals() {
    auto& g = invocation_.global;
    if (output_ == "json") g.output = Output::json;
    if (timeout_ > 0) g.timeout = timeout_;
    g.agents_named = !g.agents.empty();
    if (!g.agents_named) g.agents.push_back(default_agent(environment_));
    for (std::size_t i = 0; i < g.agents.size(); i++)
      for (std::size_t j = 0; j < i; j++)
        if (g.agents[i] == g.agents[j])
          throw CLI::ValidationError("--agent", g.agents[i] + " is named twice");
  }
  void change_options(CLI::App* c) {
    c->add_flag("--no-wait", no_wait_, "Start the operation and return");
    c->add_flag("--supersede", options_.supersede, "End an operation that holds the same instances");
    c->add_option("--max-unavailable", max_unavailable_, "How many may be away at once")
        ->check(CLI::Range(1, 10000))
        ->type_name("N");
  }
  ChangeOptions parsed_change_options() {
    options_.wait = !no_wait_;
    if (max_unavailable_ > 0) options_.max_unavailable = max_unavailable_;
    return options_;
  }
  void add_change_commands() {
    for (const std::string kind : {"up", "down", "drain", "undrain", "restart"}) {
      const bool needs_names = kind == "drain" || kind == "undrain";
      const bool all = needs_names || kind == "restart";
      auto* c = command(kind, [this, kind, needs_names] {
        if (all_ && !names_.empty()) throw CLI::ValidationError(kind, "takes names or --all, not both");
        if (needs_names && !all_ && names_.empty())
          throw CLI::ValidationError(kind, "names or --all must be given");
        invocation_.command = Change{kind, names_, parsed_change_options()};
      });
      c->add_option("NAME", names_, "Instances")->check(CLI::Validator(instance_name_error, "", ""));
      if (all) c->add_flag("--all", all_, "Every instance of the agent");
      if (kind == "restart")
        c->add_flag("--rolling", rolling_, "Few at a time, which is how restarts always go");
      change_options(c);
    }
    auto* t = command("takeover", [this] {
      require_one_agent("takeover", "one holder does it");
      invocation_.command = TakeOver{argument_, yes_};
    });
    t->add_option("RELAY", argument_, "Whose messages; of any machine")
        ->required()
        ->check(CLI::Validator(instance_name_error, "", ""));
    t->add_flag("-y,--yes", yes_, "Do not ask");
    auto* a = command("apply", [this] {
      invocation_.command = Apply{argument_, dry_run_, yes_, parsed_change_options()};
    });
    a->add_option("FILE", argument_, "The fleet file (TOML)")->required();
    auto* r = command("rollback", [this] {
      invocation_.command = Rollback{number_ > 0 ? std::optional(number_) : std::nullopt, dry_run_, yes_,
                                     parsed_change_options()};
      if (number_ > 0) require_one_agent("rollback", "generations count apart on each agent");
    });
    r->add_option("GENERATION", number_, "Without it: before the last apply")
        ->check(CLI::Range(1ull, 1ull << 53));
    for (auto* c : {a, r}) {
      c->add_flag("--dry-run", dry_run_, "Show what would change, and change nothing");
      c->add_flag("-y,--yes", yes_, "Do not ask");
      change_options(c);
    }
    auto* c = command("cancel", [this] {
      require_one_agent("cancel", "operations count apart on each agent");
      invocation_.command = Cancel{number_};
    });
    c->add_option("OPERATION", number_)->required()->check(CLI::Range(1ull, 1ull << 53));
  }
  void add_read_commands() {
    command("list", [this] {
      if (only_names_ && output_ == "json") throw CLI::ValidationError("list", "--names is no json");
      invocation_.command = List{only_names_};
    })->add_flag("--names", only_names_, "Only the names, a line each");
    command("status", [this] {
      if (watch_ && output_ == "json") throw CLI::ValidationError("status", "--watch draws tables, not json");
      invocation_.command = Status{watch_};
    })->add_flag("-w,--watch", watch_, "Redraw each second until Ctrl-C");
    command("show", [this] { invocation_.command = Show{argument_}; })
        ->add_option("INSTANCE", argument_)
        ->required()
        ->check(CLI::Validator(instance_name_error, "", ""));
    command("message",
            [this] {
              if (argument_.empty()) throw CLI::ValidationError("message", "an id must be given");
              invocation_.command = Message{argument_};
            })
        ->add_option("ID", argument_)
        ->required();
    command("history", [this] { invocation_.command = History{limit_}; })
        ->add_option("--limit", limit_, "How many")
        ->check(CLI::Range(1, 1000));
    auto* l = command("logs", [this] {
      if (follow_ && output_ == "json") throw CLI::ValidationError("logs", "a followed log has no json");
      invocation_.command = Logs{argument_, follow_, lines_};
    });
    l->add_option("NAME", argument_)->required()->check(CLI::Validator(instance_name_error, "", ""));
    l->add_flag("-f,--follow", follow_, "Go on as lines come");
    l->add_option("-n,--lines", lines_, "How many of the last lines")->check(CLI::Range(0, 10000));
    auto* o = command("operation", [this] { invocation_.command = ShowOperation{number_, !no_wait_}; });
    o->add_option("ID", number_)->required()->check(CLI::Range(1ull, 1ull << 53));
    o->add_flag("--no-wait", no_wait_, "Show it as it is now");
    command("completion", [this] { invocation_.command = Completion{argument_}; })
        ->add_option("SHELL", argument_)
        ->required()
        ->check(CLI::IsMember({"bash", "zsh", "fish"}));
    auto* d = command("demo", [this] {
      if (output_ == "json") throw CLI::ValidationError("demo", "has no json");
      invocation_.command = Demo{seconds_ > 0 ? std::optional(seconds_) : std::nullopt, plain_};
    });
    d->add_option("--seconds", seconds_, "End after so many seconds, in place of Ctrl-C")
        ->check(CLI::Range(1.0, 86400.0))
        ->type_name("N");
    d->add_flag("--plain", plain_, "A line a second in place of the screen");
    command("version", [this] { invocation_.command = Version{}; });
  }
  void require_one_agent(const char* command, const char* reason) {
    if (invocation_.global.agents.size() > 1)
      throw CLI::ValidationError(command, std::string("takes one --agent: ") + reason);
  }

  CLI::App app_;
  const std::function<std::string(const char*)>& environment_;
  Invocation invocation_;
  std::function<void()> make_command_;
  std::string output_, argument_;
  std::vector<std::string> names_;
  double timeout_ = 0, seconds_ = 0;
  std::uint64_t number_ = 0;
  unsigned max_unavailable_ = 0, limit_ = 20, lines_ = 100;
  bool all_ = false, rolling_ = false, no_wait_ = false, dry_run_ = false, yes_ = false, watch_ = false,
       follow_ = false, version_flag_ = false, only_names_ = false, plain_ = false;
  ChangeOptions options_;
};

}  // namespace

std::variant<Invocation, Finished> parse_options(int argc, const char* const* argv,
                                                 const std::function<std::string(const char*)>& environment) {
  Parse parse(environment);
  try {
    return parse.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    std::ostringstream out, err;
    const int code = parse.app().exit(e, out, err);
    if (code == 0) return Finished{kDone, out.str(), ""};
    std::string where;
    for (const auto* c : parse.app().get_subcommands()) where = " " + c->get_name();
    return Finished{
        kUsage, "",
        std::string("heronvanectl: ") + e.what() + "\n  next: heronvanectl" + where + " --help\n"};
  }
}

}  // namespace heronvane::cli
